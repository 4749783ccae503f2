#include "core/manualclock.h"

#include <cassert>

namespace Pimentohollow
{

TimePoint ManualClock::now() const
{
    return TimePoint(Duration(m_elapsed.load()));
}

WallTime ManualClock::wallNow() const
{
    return WallTime(std::chrono::duration_cast<WallTime::duration>(Duration(m_elapsed.load())));
}

void ManualClock::advance(Duration step)
{
    assert(step.count() >= 0);
    m_elapsed += step.count();
}

} // namespace Pimentohollow
