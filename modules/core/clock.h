#pragma once

#include <chrono>

namespace Pimentohollow
{

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

/**
 * Source of time, passed in wherever a decision depends on it.
 *
 * Leases, deadlines and rates use now(); wallNow() is only for records that people read.
 * @see SystemClock, ManualClock
 */
class Clock
{
public:
    virtual ~Clock() = default;

    /** Monotonic time; never goes back and is only comparable within one process. */
    virtual TimePoint now() const = 0;

    /** Time of day for audit entries and logs; may jump. */
    virtual WallTime wallNow() const = 0;
};

} // namespace Pimentohollow
