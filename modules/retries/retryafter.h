#pragma once

#include "core/clock.h"
#include "core/random.h"

namespace Pimentohollow
{

/** Bounds of RetryAfter. */
struct RetryAfterSettings {
    /** Mean time when almost all requests are admitted. */
    Duration shortest = std::chrono::seconds(1);
    /** Mean time when nothing is admitted. */
    Duration longest = std::chrono::seconds(30);
};

/** The time after which a refused caller may come back. */
class RetryAfter
{
public:
    /** @param random must outlive this object */
    RetryAfter(RetryAfterSettings settings, Random &random);

    /**
     * The mean is inversely proportional to the share of requests admitted now, so that the callers that wait
     * come back at a rate that the service can take.
     * @param admittedShare in [0, 1]
     */
    Duration forOverload(double admittedShare);

    /** Spreads @p wait over [wait, 1.5 wait), for waits whose end is known, such as the refill of a token bucket. */
    Duration atLeast(Duration wait);

private:
    RetryAfterSettings m_settings;
    Random &m_random;
};

} // namespace Pimentohollow
