#pragma once

#include "core/clock.h"

#include <deque>

namespace Pimentohollow
{

/**
 * Plans the rate of retries to a service so that, in every window, the retries stay within a ratio of the requests.
 *
 * The requests that count for a window are those of the window itself, of the one before it, or of the one half a window earlier, whichever
 * are the most. The plan uses the requests of the past, which can't be taken back: in the seconds after the upstreams of a service begin to
 * reject, fewer requests arrive there, since call trees fail at their first call or aren't admitted, and a ratio of the requests of the
 * moment would shrink when retries are needed most. Not thread-safe; the caller passes the time.
 */
class RetryRatePlan
{
public:
    /** @param ratio retries allowed per request in a window */
    RetryRatePlan(double ratio, Duration window);

    /**
     * Returns the retries per second that may be sent now. Must be called several times per second; it assumes that the returned rate is
     * used.
     * @param requestRate current requests per second
     */
    double update(double requestRate, TimePoint now);

private:
    struct Interval {
        double requests = 0;
        double retries = 0;
    };

    void closeInterval();
    /** Requests in the window that began @p intervals before now. */
    double countedRequests(std::size_t intervals) const;
    double requestsBetween(std::size_t newest, std::size_t end) const;
    double planRate() const;

    double m_ratio;
    double m_intervalSeconds;
    Duration m_intervalLength;
    /** Past intervals, the newest first. */
    std::deque<Interval> m_intervals;
    TimePoint m_intervalStart{};
    bool m_started = false;
    double m_requestRate = 0;
    double m_rate = 0;
};

} // namespace Pimentohollow
