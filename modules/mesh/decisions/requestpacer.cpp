#include "mesh/decisions/requestpacer.h"

#include <algorithm>

namespace Pimentohollow
{

namespace
{

/** Requests per second sent even to an upstream that accepts none; without them, the end of its limit would not be noticed. */
constexpr double MinimumRate = 0.5;
/** Time whose requests may start together; twice the interval at which queued requests are scheduled. */
constexpr std::chrono::duration<double> BurstTime(0.1);

} // namespace

void RequestPacer::setLimit(std::optional<double> requestsPerSecond, TimePoint now)
{
    if (m_limit) {
        refill(now);
    } else {
        m_tokens = 0;
        m_refilledAt = now;
    }
    m_limit = requestsPerSecond;
    if (m_limit) {
        m_limit = std::max(*m_limit, MinimumRate);
    }
}

bool RequestPacer::tryStart(TimePoint now)
{
    if (!m_limit) {
        return true;
    }
    refill(now);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

Duration RequestPacer::expectedWait(std::size_t ahead) const
{
    if (!m_limit) {
        return {};
    }
    const double missing = std::max(0.0, static_cast<double>(ahead) + 1 - m_tokens);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing / *m_limit));
}

void RequestPacer::refill(TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
    m_tokens = std::min(m_tokens + std::max(elapsed, 0.0) * *m_limit, std::max(1.0, *m_limit * BurstTime.count()));
    m_refilledAt = now;
}

} // namespace Pimentohollow
