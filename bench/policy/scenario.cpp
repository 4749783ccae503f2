#include "scenario.h"

#include <algorithm>
#include <cmath>

namespace Pimentohollow
{

namespace
{

/** Upper services of long chains have this much more capacity than the deepest one. */
constexpr double UpperHeadroom = 1.3;

Policy chosen(const std::string &name)
{
    Policy policy;
    policy.name = name;
    policy.propagation = true;
    return policy;
}

Policy limitOnly(const std::string &name, const LimitSettings &limit)
{
    Policy policy;
    policy.name = name;
    policy.admission.limit = limit;
    policy.admission.queue = { false, false };
    return policy;
}

} // namespace

std::vector<Deployment> deployments()
{
    return {
        { "Jahrestag", { ServiceModel{ 4, 160, 1100 }, ServiceModel{ 4, 160, 1100 }, ServiceModel{ 4, 30, 300 } } },
        { "Agencia", { ServiceModel{ 3, 200, 1300 }, ServiceModel{ 4, 150, 1000 }, ServiceModel{ 3, 50, 400 } } },
    };
}

std::vector<Scenario> scenarios()
{
    return {
        { "demand x2", 2.0, 1.0, false, 1.0 },
        { "demand x5", 5.0, 1.0, false, 1.0 },
        { "demand x10", 10.0, 1.0, false, 1.0 },
        { "deep service 10x slower", 1.0, 10.0, false, 1.0 },
        { "demand x2, hard retries", 2.0, 1.0, true, 1.0 },
        { "one account x10", 1.0, 1.0, false, 10.0 },
        { "slow, retries, account x10", 1.0, 10.0, true, 10.0 },
    };
}

std::vector<Policy> policies()
{
    Policy none = limitOnly("no control", UnlimitedLimitSettings{});
    none.boundedRetries = false;
    none.cancels = false;
    Policy noFairness = chosen("chosen without fair shares");
    noFairness.admission.queue.fairShares = false;
    Policy noPriority = chosen("chosen without priority");
    noPriority.admission.queue.priorities = false;
    Policy noPropagation = chosen("chosen without propagation");
    noPropagation.propagation = false;
    return {
        none,
        limitOnly("static limit", StaticLimitSettings{}),
        limitOnly("AIMD", AimdLimitSettings{}),
        limitOnly("latency gradient", GradientLimitSettings{}),
        noFairness,
        noPriority,
        noPropagation,
        chosen("chosen"),
    };
}

std::vector<Policy> profiles()
{
    // Goodput and recovery: invites more work than fits and lets shares recover faster, at the price of wasted work.
    Policy jahrestag = chosen("profile Jahrestag");
    jahrestag.admission.shares.overcommit = 1.3;
    jahrestag.admission.shares.largestRise = 2.0;
    // Worst-served accounts and wrongful refusals: queues longer rather than refusing, and starts with a higher limit.
    Policy agencia = chosen("profile Agencia");
    agencia.admission.queueTime = std::chrono::milliseconds(500);
    agencia.admission.longestWait = std::chrono::milliseconds(250);
    GradientLimitSettings limit;
    limit.initial = 40;
    agencia.admission.limit = limit;
    return { jahrestag, agencia };
}

std::vector<ServiceModel> chainOf(const Deployment &deployment, std::uint32_t length)
{
    const ServiceModel &deepest = deployment.services.back();
    if (length == 1) {
        return { deepest };
    }
    if (length == 3) {
        return { deployment.services.begin(), deployment.services.end() };
    }
    std::vector<ServiceModel> chain;
    for (std::uint32_t level = 0; level + 1 < length; ++level) {
        ServiceModel service = deployment.services[level % 2];
        const double slotsNeeded = UpperHeadroom * deepest.targets * deepest.slots * (length - level) / service.targets;
        service.slots = std::max(service.slots, static_cast<std::uint32_t>(std::ceil(slotsNeeded)));
        service.connections = std::max(service.connections, 4 * service.slots);
        chain.push_back(service);
    }
    chain.push_back(deepest);
    return chain;
}

double capacity(const Deployment &deployment, double slowdown)
{
    const ServiceModel &deepest = deployment.services.back();
    return deepest.targets * deepest.slots / (std::chrono::duration<double>(OwnTime).count() * slowdown);
}

Duration deadlineOf(std::uint32_t chain)
{
    return std::chrono::milliseconds(600 + 60 * chain);
}

} // namespace Pimentohollow
