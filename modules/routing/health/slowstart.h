#pragma once

#include "core/clock.h"

namespace Pimentohollow
{

/** Ramp of the share of work that a cold or readmitted upstream gets. */
class SlowStart
{
public:
    /** Upstreams of the users' kind fill their caches within seconds; the serving node's own limit grows as well. */
    static constexpr Duration Ramp = std::chrono::seconds(10);
    static constexpr double LowestWeight = 0.1;

    /** Starts the ramp at @p start, which may lie ahead; until then the weight is the lowest one. */
    void restart(TimePoint start);

    /** Ends the ramp, for an upstream that is known to be warm. */
    void finish();

    /** Weight in [LowestWeight, 1]; 1 when no ramp is running. */
    double weight(TimePoint now) const;

private:
    TimePoint m_startedAt = TimePoint::min();
};

} // namespace Pimentohollow
