#include "routing/health/slowstart.h"

namespace Pimentohollow
{

void SlowStart::restart(TimePoint start)
{
    m_startedAt = start;
}

void SlowStart::finish()
{
    m_startedAt = TimePoint::min();
}

double SlowStart::weight(TimePoint now) const
{
    // The comparison comes first: the difference to TimePoint::min() would overflow.
    if (m_startedAt == TimePoint::min() || now >= m_startedAt + Ramp) {
        return 1.0;
    }
    if (now <= m_startedAt) {
        return LowestWeight;
    }
    const double progress = std::chrono::duration<double>(now - m_startedAt) / std::chrono::duration<double>(Ramp);
    return LowestWeight + (1.0 - LowestWeight) * progress;
}

} // namespace Pimentohollow
