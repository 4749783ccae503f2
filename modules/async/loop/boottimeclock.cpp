#include "async/loop/boottimeclock.h"

#include <ctime>

namespace Pimentohollow
{

TimePoint BootTimeClock::now() const
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

WallTime BootTimeClock::wallNow() const
{
    return std::chrono::system_clock::now();
}

} // namespace Pimentohollow
