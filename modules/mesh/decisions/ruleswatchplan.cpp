#include "mesh/decisions/ruleswatchplan.h"

#include <algorithm>

namespace Pimentohollow
{

namespace
{

/** Fraction of the deadline after which a confirmation is too old; the rest is left for a call of the node's own. */
constexpr double MaximumAgeFraction = 0.65;
/** Fraction of the deadline that answers and statuses may be late before other nodes call the store in vain. */
constexpr double DelayMarginFraction = 0.1;
/** Lower limit of the wait, as a fraction of the deadline, if statuses are rare. */
constexpr double MinimumWaitFraction = 0.1;
/** Fraction of the deadline that the store has for an answer, beyond the wait, before the connection is considered silent. */
constexpr double AnswerTimeFraction = 0.25;
/** Limit of the answer time of a store that is slow. */
constexpr std::chrono::seconds MaximumAnswerTime(2);
/** An answer that took less than the answer time divided by this is quick enough to shorten the time again. */
constexpr int QuickAnswerDivisor = 4;
/** Nodes of a data centre that call all the time; the age of the confirmation replaces a second one. */
constexpr std::size_t Watchers = 1;

Duration fractionOf(Duration duration, double fraction)
{
    return std::chrono::duration_cast<Duration>(duration * fraction);
}

} // namespace

RulesWatchPlan::RulesWatchPlan(Duration deadline, TimePoint now)
    : m_deadline(deadline)
    , m_answerTime(minimumAnswerTime())
    , m_confirmedAt(now)
{
}

Duration RulesWatchPlan::maximumAge() const
{
    return fractionOf(m_deadline, MaximumAgeFraction);
}

Duration RulesWatchPlan::minimumAnswerTime() const
{
    return fractionOf(m_deadline, AnswerTimeFraction);
}

bool RulesWatchPlan::isDue(const RoleCandidate &own, const std::vector<RoleCandidate> &localPeers, TimePoint now) const
{
    return watchesStore(own, localPeers, Watchers, now) || (own.reachesStore && confirmationAge(now) > maximumAge());
}

WatchLimits RulesWatchPlan::limits(Duration statusInterval) const
{
    if (!m_storeAnswers) {
        // A call that returns at once shows soonest whether the store is back.
        return { Duration::zero(), m_answerTime };
    }
    const Duration wait = maximumAge() - statusInterval - fractionOf(m_deadline, DelayMarginFraction);
    return { std::max(wait, fractionOf(m_deadline, MinimumWaitFraction)), m_answerTime };
}

void RulesWatchPlan::recordAnswer(const WatchLimits &limits, bool changed, TimePoint calledAt, TimePoint now)
{
    m_storeAnswers = true;
    confirm(changed ? now : std::min(calledAt + limits.wait, now));
    if (now - calledAt < limits.wait + m_answerTime / QuickAnswerDivisor) {
        m_answerTime = std::max(m_answerTime / 2, minimumAnswerTime());
    }
}

void RulesWatchPlan::recordFailure(bool timedOut)
{
    m_storeAnswers = false;
    if (timedOut) {
        m_answerTime = std::clamp<Duration>(m_answerTime * 2, m_answerTime, std::max<Duration>(m_answerTime, MaximumAnswerTime));
    }
}

void RulesWatchPlan::confirm(TimePoint at)
{
    m_confirmedAt = std::max(m_confirmedAt, at);
}

} // namespace Pimentohollow
