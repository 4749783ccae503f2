#include "retries/retryratio.h"

#include <algorithm>
#include <cassert>

namespace Pimentohollow
{

RetryRatio::RetryRatio(std::uint32_t firstAttemptsPerRetry, std::uint32_t maxSavedRetries)
    : m_firstAttemptsPerRetry(firstAttemptsPerRetry)
    , m_maxSaved(firstAttemptsPerRetry * maxSavedRetries)
{
    assert(firstAttemptsPerRetry > 0);
}

void RetryRatio::recordFirstAttempt()
{
    m_saved = std::min(m_saved + 1, m_maxSaved);
}

bool RetryRatio::available() const
{
    return m_saved >= m_firstAttemptsPerRetry;
}

bool RetryRatio::tryConsume()
{
    if (!available()) {
        return false;
    }
    m_saved -= m_firstAttemptsPerRetry;
    return true;
}

} // namespace Pimentohollow
