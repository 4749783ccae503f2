#pragma once

#include "admission/admission.h"

#include <array>
#include <string>
#include <vector>

namespace Pimentohollow
{

/** One service of the call chain; level 0 is called by the callers, each level calls the next one. */
struct ServiceModel {
    std::uint32_t targets = 4;
    /** Requests that one upstream works on at once; more wait inside it in order of arrival. */
    std::uint32_t slots = 160;
    /** Requests that one upstream accepts before it refuses. */
    std::uint32_t connections = 1100;
};

/** The sizes of one user, see section 1.6 of the design. */
struct Deployment {
    std::string name;
    /** The services of a chain of 3, top first; longer chains repeat and scale the upper ones. */
    std::array<ServiceModel, 3> services;
};

/** What happens during the trigger; before and after it, demand is BaseLoad of the capacity. */
struct Scenario {
    std::string name;
    double demandFactor = 1.0;
    double deepSlowdown = 1.0;
    /** Refused and late callers send again at once, ignoring Retry-After, before, during and after the trigger. */
    bool retryHard = false;
    /** Factor on the demand of one small account. */
    double hogFactor = 1.0;
};

/** The decision code and its parameters under test. */
struct Policy {
    std::string name;
    AdmissionSettings admission;
    bool propagation = false;
    /** Retry budget, ratio and policy of the module retries; otherwise each hop retries twice. */
    bool boundedRetries = true;
    /** Whether work is cancelled when its deadline passes. */
    bool cancels = true;
};

/** Everything that determines one run. */
struct Experiment {
    Deployment deployment;
    Scenario scenario;
    Policy policy;
    std::uint32_t chain = 1;
    std::uint64_t seed = 1;
};

/** Demand outside the trigger, as a share of the capacity. */
constexpr double BaseLoad = 0.8;
/** Mean time of a request in a service, without its child call. */
constexpr Duration OwnTime = std::chrono::milliseconds(20);
/** Share of the requests that are important: orders and permits among lookups. */
constexpr double ImportantShare = 0.1;
/** Rates of the client accounts as shares of the demand: 8 accounts, a few of them large. */
constexpr std::array<double, 8> AccountRates{ 0.25, 0.25, 0.15, 0.07, 0.07, 0.07, 0.07, 0.07 };
/** The account that sends too much in some scenarios; a small one. */
constexpr std::size_t HogAccount = 7;

std::vector<Deployment> deployments();
std::vector<Scenario> scenarios();
/** The baseline, the simpler policies, the chosen one and the chosen one without each of its parts. */
std::vector<Policy> policies();
/** The chosen policy with the parameters of one user. */
std::vector<Policy> profiles();

/** The services of a chain of the given length; all but the deepest have at least 30 % more capacity than the deepest. */
std::vector<ServiceModel> chainOf(const Deployment &deployment, std::uint32_t length);

/** Whole requests per second that the deepest service, the bottleneck, can complete. */
double capacity(const Deployment &deployment, double slowdown);

/** Time after which a caller goes away. */
Duration deadlineOf(std::uint32_t chain);

} // namespace Pimentohollow
