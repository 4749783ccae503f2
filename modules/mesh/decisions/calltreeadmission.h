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

/** Ranks that admission tells apart; less urgent ones are taken together. */
inline constexpr std::size_t AdmissionRanks = 8;

/** Slots that requests of each rank would keep busy, on average. */
using RankDemand = std::array<double, AdmissionRanks>;

/** What a service can do now, as far as this node sees. */
struct ServiceCapacity {
    /** Slots of the upstreams that can be reached and take requests. */
    double slots = 0;
    /** Those of them that are taken. */
    double busy = 0;
    /** Mean time that requests wait for a slot. */
    Duration wait{};
};

/**
 * Decides at the entry node whether the tree of calls below a new request may start.
 *
 * The load it answers: the smallest service at the bottom of the trees gets one and a half times what it can do, or loses most of its
 * upstreams, while those above it have room. Shedding there wastes the work of all services above, so the trees are refused before they
 * start. Each entry node learns from the answers how long a request of a route holds slots of each service. It multiplies that with the
 * requests that arrive and tells the other nodes the result. All nodes divide the slots of a service among the ranks in the same way, the
 * most urgent first. Requests whose trees don't reach a service that is short aren't touched. Not thread-safe, no clock.
 */
class CallTreeAdmission
{
public:
    /** Takes the work that a request of @p route was found to bring. */
    void recordWork(const RouteName &route, const std::vector<ServiceWork> &work);
    /** Demand that another node, or another data centre, reported. */
    void applyReport(const Reporter &reporter, const std::map<ServiceName, RankDemand> &demand, TimePoint now);
    /** Drops a reporter whose place another one has taken. */
    void forgetReporter(const NodeName &name);
    /** Call it for all services, then adjust(). A service that isn't set has no capacity. */
    void setCapacity(const ServiceName &service, const ServiceCapacity &capacity);
    /** Divides the slots anew; call it every AdjustInterval. */
    void adjust(TimePoint now);

    /** Counts the request and decides on it: nothing if its tree may start, or when to come back. */
    std::optional<Duration> admit(const RouteName &route, std::uint32_t rank, TimePoint now);

    /**
     * True if no service that @p route reaches sheds requests of any rank or lets them wait for long; false for a route that isn't known
     * yet.
     */
    bool isUncongested(const RouteName &route) const;
    /** This node's demand for the services that are more than half busy, for the others. */
    std::map<ServiceName, RankDemand> demand() const;
    /** The same for all nodes of the own data centre. */
    std::map<ServiceName, RankDemand> dataCentreDemand(TimePoint now) const;
    /** The services that @p route reaches with their slots, demand and admitted share for @p rank, for the log. */
    std::string describe(const RouteName &route, std::uint32_t rank) const;
    /** Share of the requests of @p rank whose trees reach @p service that are admitted. */
    double admittedShare(const ServiceName &service, std::uint32_t rank) const;

    static constexpr std::chrono::milliseconds AdjustInterval{ 100 };

private:
    struct Arrivals {
        /** Requests per second by rank, moving averages. */
        RankDemand perSecond{};
        RankDemand counts{};
    };
    struct Service {
        ServiceCapacity capacity;
        bool capacitySet = false;
        /** Factor of the slots that trees may use, moved by the wait. */
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
    /** Seconds of a slot that a request of a route takes at each service. */
    std::unordered_map<RouteName, std::map<ServiceName, double>> m_work;
    std::unordered_map<RouteName, Arrivals> m_arrivals;
    /** Parts of requests that are owed to each route and rank, so that the admitted share is exact and not only probable. */
    std::unordered_map<RouteName, RankDemand> m_credits;
    std::unordered_map<NodeName, Peer> m_peers;
    TimePoint m_adjustedAt{};
    /** Spreads the returns of refused callers. */
    std::uint32_t m_refusals = 0;
};

} // namespace Pimentohollow
