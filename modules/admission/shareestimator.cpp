#include "admission/shareestimator.h"

#include <algorithm>

namespace Pimentohollow
{

namespace
{

/** Lowest share from which it can grow again; 0 would stay 0, and less than a few percent would take seconds to grow. */
constexpr double SmallestShare = 0.02;
/** Weight of a new window in the completion rate. */
constexpr double RateWeight = 0.3;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

ShareEstimator::ShareEstimator(AdmittedShareSettings settings)
    : m_settings(settings)
{
}

void ShareEstimator::arrived(Priority priority, bool chained, TimePoint now)
{
    roll(now);
    Arrivals &arrivals = m_arrivals[static_cast<std::size_t>(priority)];
    (chained ? arrivals.chained : arrivals.direct) += 1;
}

void ShareEstimator::refused(TimePoint now)
{
    roll(now);
    m_refused += 1;
}

void ShareEstimator::completed(TimePoint now)
{
    roll(now);
    m_completed += 1;
}

AdmittedShares ShareEstimator::shares(TimePoint now)
{
    roll(now);
    return m_shares.important < 1.0 ? AdmittedShares{ 0.0, m_shares.important } : m_shares;
}

std::optional<double> ShareEstimator::completionRate() const
{
    return m_completionRate;
}

void ShareEstimator::roll(TimePoint now)
{
    if (m_start == TimePoint{}) {
        m_start = now;
    }
    const Duration elapsed = now - m_start;
    if (elapsed < m_settings.window) {
        return;
    }
    closeWindow(seconds(elapsed));
    m_start = now;
    m_arrivals = {};
    m_refused = 0;
    m_completed = 0;
}

double ShareEstimator::demand(Priority priority) const
{
    const Arrivals &arrivals = m_arrivals[static_cast<std::size_t>(priority)];
    // The largest of the last shares; a smaller one would take calls on the way for a larger demand.
    double inForce = std::max(m_shares.of(priority), SmallestShare);
    for (const auto &it : m_history) {
        inForce = std::max(inForce, it.of(priority));
    }
    return arrivals.direct + arrivals.chained / inForce;
}

double ShareEstimator::limitChange(double share, double target) const
{
    const double from = std::max(share, SmallestShare);
    return std::clamp(target, from * m_settings.largestFall, std::min(1.0, from * m_settings.largestRise));
}

void ShareEstimator::closeWindow(double elapsed)
{
    const double rate = m_completed / elapsed;
    m_completionRate = m_completionRate ? *m_completionRate + RateWeight * (rate - *m_completionRate) : rate;
    const AdmittedShares before = m_shares;
    double normal = 1.0;
    double important = 1.0;
    if (m_refused > 0) {
        const double capacity = std::max(1.0, *m_completionRate * elapsed * m_settings.overcommit);
        const double importantDemand = demand(Priority::Important);
        const double normalDemand = demand(Priority::Normal);
        important = importantDemand <= capacity ? 1.0 : capacity / importantDemand;
        normal = normalDemand <= 0 ? 1.0 : std::clamp((capacity - importantDemand) / normalDemand, 0.0, 1.0);
    }
    m_shares.important = limitChange(before.important, important);
    m_shares.normal = limitChange(before.normal, normal);
    m_history[m_nextHistory] = before;
    m_nextHistory = (m_nextHistory + 1) % HistoryWindows;
}

} // namespace Pimentohollow
