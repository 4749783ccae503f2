#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "core/requestcontext.h"
#include "routing/table/upstreamtable.h"

#include <array>
#include <unordered_map>

namespace Pimentohollow
{

/**
 * Refuses at the entry node what the serving nodes would refuse anyway.
 *
 * The serving nodes report which share of the arriving work they admit. That share is high again as soon as the entry nodes refuse
 * enough, so it can't be used directly: the admitted share of the entry is scaled down when the serving nodes admit less than
 * LeastServing of what reaches them, and doubles every DoublingTime while they admit everything. The remaining refusals stay at
 * the serving nodes, which know priorities and fair shares. At least SmallestShare is always sent, so that recovery is noticed.
 * A share that is too high only means that the serving nodes refuse, as without this class.
 */
class ServiceLoad
{
public:
    static constexpr double LeastServing = 0.9;
    /** A reduction aims between LeastServing and everything, so that small changes of demand cause no further step. */
    static constexpr double ServingTarget = 0.95;
    static constexpr double SmallestShare = 0.02;
    /** From 2 % to everything takes 6 doublings: 1.5 s, within the recovery target of 2 s. */
    static constexpr Duration DoublingTime = std::chrono::milliseconds(250);
    /** Gossip takes up to a second; a second reduction before that would rest on records from before the first one. */
    static constexpr Duration ReductionInterval = std::chrono::milliseconds(1100);
    static constexpr Duration UpdateInterval = std::chrono::milliseconds(50);

    ServiceLoad(const UpstreamTable &table, const Clock &clock, Random &random);

    /** Whether the request goes on; on false it is refused as not run because the service is overloaded. */
    bool admit(const ServiceName &service, Priority priority);

    /** Share of the requests of that priority that are let through now. */
    double share(const ServiceName &service, Priority priority);

private:
    static constexpr std::size_t PriorityCount = 2;

    struct State {
        std::array<double, PriorityCount> shares{ 1.0, 1.0 };
        std::array<TimePoint, PriorityCount> reducedAt{};
        TimePoint updatedAt{};
    };

    /** What the serving nodes admit of what reaches them, weighted by their limits. */
    std::array<double, PriorityCount> reportedShares(const ServiceName &service) const;
    void update(const ServiceName &service, State &state);

    const UpstreamTable &m_table;
    const Clock &m_clock;
    Random &m_random;
    std::unordered_map<ServiceName, State> m_states;
};

} // namespace Pimentohollow
