#pragma once

#include "core/clock.h"
#include "core/upstreamrecord.h"
#include "routing/health/slowstart.h"

#include <cstdint>

namespace Pimentohollow
{

/** What the answers of one upstream have shown. @see OutlierEjector */
struct UpstreamHealth {
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t samples = 0;
    /** Moving average of the latency of successful answers, in nanoseconds. */
    double latency = 0;
    /** Moving average of the share of failures. */
    double failureShare = 0;
    /** Moving average of the share of calls that were refused as not run; says that the upstream is full. */
    double shedShare = 0;
    TimePoint ejectedUntil = TimePoint::min();
    /** The current or last ejection was for slowness: the upstream still completes work. */
    bool slow = false;
    /** Ejections without a full recovery in between; lengthens the next one. */
    std::uint32_t ejections = 0;
    /** Successes that are still needed in a row after a readmission; one failure ejects again. */
    std::uint32_t probation = 0;
};

/** One upstream as this node sees it. */
struct Upstream {
    UpstreamRecord record;
    /** Calls that this node has in flight there. */
    std::uint32_t ownInFlight = 0;
    /** Calls of other nodes, from the record less the own ones at its arrival. */
    std::uint32_t othersInFlight = 0;
    /** False while the connections to the node beside it can't be opened. */
    bool reachable = true;
    SlowStart slowStart;
    UpstreamHealth health;

    bool takesNewWork() const
    {
        return record.state == UpstreamState::Starting || record.state == UpstreamState::Ready;
    }

    bool isEjected(TimePoint now) const
    {
        return now < health.ejectedUntil;
    }

    /** Concurrency limit scaled by slow start, at least 1. */
    double capacity(TimePoint now) const
    {
        const double limit = record.concurrencyLimit * slowStart.weight(now);
        return limit < 1.0 ? 1.0 : limit;
    }

    /**
     * Load by the calls of this node alone, as a share of the capacity. Used for the choice: records are as old as many service
     * times, and all entry nodes would follow the same old record at once (docs/routing.md).
     * @param part how much of the coming call counts, in [0, 1)
     */
    double ownLoad(TimePoint now, double part) const
    {
        return (double(ownInFlight) + part) / capacity(now);
    }

    /** Load by all calls, as far as the last record tells. */
    double recordedLoad(TimePoint now) const
    {
        return (double(ownInFlight) + double(othersInFlight)) / capacity(now);
    }
};

} // namespace Pimentohollow
