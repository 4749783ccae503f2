#pragma once

#include "retries/retries.h"

#include <mutex>

namespace Pimentohollow
{

/** RetryAfter for several threads. */
class RetryAfterSource
{
public:
    explicit RetryAfterSource(std::uint64_t seed);

    Duration forOverload(double admittedShare);
    Duration atLeast(Duration wait);

private:
    std::mutex m_mutex;
    Random m_random;
    RetryAfter m_retryAfter;
};

} // namespace Pimentohollow
