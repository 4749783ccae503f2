#include "node/pipeline/retryaftersource.h"

namespace Pimentohollow
{

RetryAfterSource::RetryAfterSource(std::uint64_t seed)
    : m_random(seed)
    , m_retryAfter(RetryAfterSettings{}, m_random)
{
}

Duration RetryAfterSource::forOverload(double admittedShare)
{
    const std::lock_guard lock(m_mutex);
    return m_retryAfter.forOverload(admittedShare);
}

Duration RetryAfterSource::atLeast(Duration wait)
{
    const std::lock_guard lock(m_mutex);
    return m_retryAfter.atLeast(wait);
}

} // namespace Pimentohollow
