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
    TimePoint ejectedUntil = TimePoint::min();
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

    /** Load after one more call, as a share of the capacity. */
    double loadWithOneMore(TimePoint now) const
    {
        return (double(ownInFlight) + double(othersInFlight) + 1.0) / capacity(now);
    }
};

} // namespace Pimentohollow
