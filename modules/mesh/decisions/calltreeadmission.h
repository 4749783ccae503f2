#pragma once

#include "core/clock.h"
#include "core/names.h"
#include "mesh/decisions/reporter.h"
#include "mesh/model/servicework.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Pimentohollow
{

/** Number of ranks that admission distinguishes; less urgent ranks are treated as the last one. */
inline constexpr std::size_t AdmissionRanks = 8;

/** Mean number of slots that the requests of each rank would use. */
using RankDemand = std::array<double, AdmissionRanks>;

/** Current capacity of a service, as known to this node. */
struct ServiceCapacity {
    /** Slots of the reachable upstreams that accept requests. */
    double slots = 0;
    /** Slots in use. */
    double busy = 0;
    /** Mean time that requests wait for a slot. */
    Duration wait{};
};

/**
 * Decides at the entry node whether the call tree of a new request may start.
 *
 * Designed for the case that the smallest service at the bottom of the call trees receives one and a half times its capacity, or loses most
 * of its upstreams, while the services above it have spare capacity. Shedding at that service wastes the work of all services above it, so
 * call trees are refused before they start. Each entry node learns from the responses how long a request of a route uses slots of each
 * service. It multiplies that by the rate of arriving requests and reports the product as its demand. All nodes divide the slots of a
 * service among the ranks in the same way, the most urgent first. Requests whose call trees don't reach an overloaded service aren't
 * affected. Not thread-safe; the caller passes the time.
 */
class CallTreeAdmission
{
public:
    /** Records the work that one request of @p route caused. */
    void recordWork(const RouteName &route, const std::vector<ServiceWork> &work);
    /** Applies the demand that another node, or another data centre, reported. */
    void applyReport(const Reporter &reporter, const std::map<ServiceName, RankDemand> &demand, TimePoint now);
    /** Removes a reporter that another one has replaced. */
    void forgetReporter(const NodeName &name);
    /** Must be called for all services before each adjust(). A service that isn't set has no capacity. */
    void setCapacity(const ServiceName &service, const ServiceCapacity &capacity);
    /** Divides the slots among the ranks by the current demand; to be called every AdjustInterval. */
    void adjust(TimePoint now);

    /** Counts the request and decides on it. Returns nothing if its call tree may start, otherwise the time after which to retry. */
    std::optional<Duration> admit(const RouteName &route, std::uint32_t rank, TimePoint now);

    /** True if no service that @p route reaches sheds requests of any rank or keeps them waiting for long; false for an unknown route. */
    bool isUncongested(const RouteName &route) const;
    /** Returns this node's demand for the services that are more than half busy, to be reported to other nodes. */
    std::map<ServiceName, RankDemand> demand() const;
    /** As demand(), summed over all nodes of this data centre. */
    std::map<ServiceName, RankDemand> dataCentreDemand(TimePoint now) const;
    /** Returns the services reached by @p route that shed requests of @p rank, with their slots, demand and admitted share, for the log. */
    std::string describe(const RouteName &route, std::uint32_t rank) const;
    /** Returns the admitted share of the requests of @p rank whose call trees reach @p service, 0 to 1. */
    double admittedShare(const ServiceName &service, std::uint32_t rank) const;

    static constexpr std::chrono::milliseconds AdjustInterval{ 100 };

private:
    struct Arrivals {
        /** Requests per second by rank, as moving averages. */
        RankDemand perSecond{};
        RankDemand counts{};
    };
    struct Service {
        ServiceCapacity capacity;
        bool capacitySet = false;
        /** Correction factor of the slots that call trees may use, adjusted by the wait for slots. */
        double utilizationFactor = 1;
        RankDemand ownDemand{};
        RankDemand totalDemand{};
        RankDemand shares{};
    };
    struct Peer {
        TimePoint lastReportAt{};
        bool sameDataCentre = true;
        std::map<ServiceName, RankDemand> demand;
    };

    void measureArrivals(TimePoint now);
    void sumDemand(TimePoint now);
    void divideSlots(Service &service);

    std::map<ServiceName, Service> m_services;
    /** Mean time in seconds for which a request of a route uses a slot of each service. */
    std::unordered_map<RouteName, std::map<ServiceName, double>> m_work;
    std::unordered_map<RouteName, Arrivals> m_arrivals;
    /** Accumulated fractions of admitted requests by route and rank, so that the admitted share is exact and not only probable. */
    std::unordered_map<RouteName, RankDemand> m_credits;
    std::unordered_map<NodeName, Peer> m_peers;
    TimePoint m_adjustedAt{};
    /** Number of refusals, which spreads the retries of refused callers. */
    std::uint32_t m_refusals = 0;
};

} // namespace Pimentohollow
