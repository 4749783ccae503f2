#pragma once

#include "core/clock.h"

#include <optional>

namespace Pimentohollow
{

/**
 * Decides which requests a node still takes after a stop request. The process ends with the shutdown grace, whatever is still running, so
 * that a request that was taken too late would be cut off without an answer although it may have run. Not thread-safe; the caller passes
 * the time.
 */
class ShutdownPlan
{
public:
    /** Records the stop request. @param grace time until the process ends */
    void start(Duration grace, TimePoint now);

    bool hasStarted() const
    {
        return m_end.has_value();
    }

    /** Time at which the last answers have to be sent; TimePoint::max() without a stop request. */
    TimePoint end() const
    {
        return m_end.value_or(TimePoint::max());
    }

    /**
     * True if a request can be finished before the process ends: by its deadline, or if several times its usual time is left.
     * @param remaining time until the deadline of the request
     * @param usual mean time of such requests; zero if unknown
     */
    bool canFinish(Duration remaining, Duration usual, TimePoint now) const;

private:
    std::optional<TimePoint> m_end;
};

} // namespace Pimentohollow
