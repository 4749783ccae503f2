#include "core/systemclock.h"

namespace Pimentohollow
{

TimePoint SystemClock::now() const
{
    return std::chrono::steady_clock::now();
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::system_clock::now();
}

} // namespace Pimentohollow
