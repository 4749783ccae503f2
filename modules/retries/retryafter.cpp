#include "retries/retryafter.h"

#include <algorithm>
#include <cassert>

namespace Pimentohollow
{

RetryAfter::RetryAfter(RetryAfterSettings settings, Random &random)
    : m_settings(settings)
    , m_random(random)
{
    assert(settings.shortest > Duration::zero() && settings.shortest <= settings.longest);
}

Duration RetryAfter::forOverload(double admittedShare)
{
    const auto shortest = static_cast<double>(m_settings.shortest.count());
    const auto longest = static_cast<double>(m_settings.longest.count());
    const double share = std::clamp(admittedShare, shortest / longest, 1.0);
    // Half of the mean to one and a half times the mean: wide enough that refused callers don't return in step.
    const double jitter = 0.5 + m_random.unit();
    return Duration(static_cast<Duration::rep>(shortest / share * jitter));
}

Duration RetryAfter::atLeast(Duration wait)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(wait.count()) * (1.0 + 0.5 * m_random.unit())));
}

} // namespace Pimentohollow
