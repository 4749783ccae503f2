#include "admission/limits/aimdlimit.h"

#include <algorithm>

namespace Pimentohollow
{

AimdLimit::AimdLimit(AimdLimitSettings settings)
    : m_settings(settings)
    , m_limit(settings.initial)
{
}

std::uint32_t AimdLimit::limit() const
{
    return static_cast<std::uint32_t>(m_limit);
}

void AimdLimit::record(const LimitSample &sample, TimePoint now)
{
    if (sample.result == WorkResult::Failed || sample.startedAt < m_decreasedAt) {
        return;
    }
    if (sample.result != WorkResult::Completed || sample.ownTime > m_settings.slow) {
        m_limit = std::max<double>(m_settings.smallest, m_limit * m_settings.decrease);
        m_decreasedAt = now;
        return;
    }
    // Grows only when the limit is in use; otherwise a calm period would raise it without evidence.
    if (2 * sample.inFlight >= limit()) {
        m_limit = std::min<double>(m_settings.largest, m_limit + 1.0 / m_limit);
    }
}

void AimdLimit::restart(TimePoint now)
{
    m_limit = m_settings.initial;
    m_decreasedAt = now;
}

} // namespace Pimentohollow
