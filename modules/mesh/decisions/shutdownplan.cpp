#include "mesh/decisions/shutdownplan.h"

#include <algorithm>

namespace Pimentohollow
{

namespace
{

/** Part of the grace reserved for sending the last responses and for the end of the process. */
constexpr std::chrono::milliseconds EndMargin(500);
/** A request needs this multiple of the mean time; the same after which an attempt counts as late and is retried. */
constexpr int UsualTimeFactor = 5;

} // namespace

void ShutdownPlan::start(Duration grace, TimePoint now)
{
    m_end = now + grace - EndMargin;
}

bool ShutdownPlan::canFinish(Duration remaining, Duration usual, TimePoint now) const
{
    if (!m_end) {
        return true;
    }
    const Duration needed = usual > Duration::zero() ? std::min(remaining, usual * UsualTimeFactor) : remaining;
    return now + needed <= *m_end;
}

} // namespace Pimentohollow
