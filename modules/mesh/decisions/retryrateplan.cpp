#include "mesh/decisions/retryrateplan.h"

#include <algorithm>

namespace Pimentohollow
{

namespace
{

constexpr std::size_t IntervalsPerWindow = 20;
constexpr std::size_t IntervalsPerHalfWindow = IntervalsPerWindow / 2;
constexpr std::size_t MaximumIntervals = 2 * IntervalsPerWindow;

} // namespace

RetryRatePlan::RetryRatePlan(double ratio, Duration window)
    : m_ratio(ratio)
    , m_intervalSeconds(std::chrono::duration<double>(window).count() / IntervalsPerWindow)
    , m_intervalLength(window / IntervalsPerWindow)
{
}

double RetryRatePlan::update(double requestRate, TimePoint now)
{
    if (!m_started || now - m_intervalStart > m_intervalLength * MaximumIntervals) {
        m_started = true;
        m_intervalStart = now;
        m_intervals.clear();
        m_rate = 0;
    }
    while (now - m_intervalStart >= m_intervalLength) {
        closeInterval();
        m_intervalStart += m_intervalLength;
    }
    m_requestRate = requestRate;
    return m_rate;
}

void RetryRatePlan::closeInterval()
{
    m_intervals.push_front({ m_requestRate * m_intervalSeconds, m_rate * m_intervalSeconds });
    if (m_intervals.size() > MaximumIntervals) {
        m_intervals.pop_back();
    }
    m_rate = planRate();
}

double RetryRatePlan::requestsBetween(std::size_t newest, std::size_t end) const
{
    double sum = 0;
    for (std::size_t n = newest; n < std::min(end, m_intervals.size()); ++n) {
        sum += m_intervals[n].requests;
    }
    return sum;
}

double RetryRatePlan::countedRequests(std::size_t intervals) const
{
    const std::size_t halfWindowLater = intervals > IntervalsPerHalfWindow ? intervals - IntervalsPerHalfWindow : 0;
    return std::max({ requestsBetween(0, intervals),
                      requestsBetween(halfWindowLater, intervals + IntervalsPerHalfWindow),
                      requestsBetween(intervals, intervals + IntervalsPerWindow) });
}

double RetryRatePlan::planRate() const
{
    const double windowSeconds = m_intervalSeconds * IntervalsPerWindow;
    // Evenly over the window, so that nodes that restart and forget their plan can't spend a window's retries twice.
    double rate = m_ratio
        * std::max({ requestsBetween(0, IntervalsPerWindow),
                     requestsBetween(IntervalsPerHalfWindow, IntervalsPerHalfWindow + IntervalsPerWindow),
                     requestsBetween(IntervalsPerWindow, MaximumIntervals) })
        / windowSeconds;
    double retries = 0;
    for (std::size_t n = 0; n < IntervalsPerWindow && n <= m_intervals.size(); ++n) {
        rate = std::min(rate, (m_ratio * countedRequests(n) - retries) / m_intervalSeconds);
        retries += n < m_intervals.size() ? m_intervals[n].retries : 0;
    }
    return std::max(0.0, rate);
}

} // namespace Pimentohollow
