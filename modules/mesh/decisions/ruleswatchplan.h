#pragma once

#include "mesh/decisions/datacentreroles.h"
#include "mesh/model/fleetstore.h"

namespace Pimentohollow
{

/**
 * Decides when a node calls the store for the rules, and how long it waits for the answer.
 *
 * One node of each data centre calls all the time. Each answer confirms which rules are the newest, and the age of this confirmation is
 * part of the statuses that the nodes send to each other. A node calls the store itself once its confirmation is too old, whatever the
 * other nodes claim: connections go silent without a reset, and a store may serve some nodes and leave the others without an answer. Each
 * call is short, so that a lost answer is noticed before the deadline for new rules.
 *
 * Not thread-safe; the caller passes the time.
 */
class RulesWatchPlan
{
public:
    /** @param deadline time within which new rules must be in force at every node that the store serves */
    RulesWatchPlan(Duration deadline, TimePoint now);

    /**
     * True if this node is to call the store now.
     * @param localPeers the other reachable nodes of the data centre
     */
    bool isDue(const RoleCandidate &own, const std::vector<RoleCandidate> &localPeers, TimePoint now) const;

    /** Time limits of the next call. @param statusInterval time between the statuses that carry the confirmation to the other nodes */
    WatchLimits limits(Duration statusInterval) const;

    /**
     * Records that the store answered a call.
     * @param limits those of the call; the wait is zero if the call read the rules at once
     * @param changed true if the answer contained a change
     */
    void recordAnswer(const WatchLimits &limits, bool changed, TimePoint calledAt, TimePoint now);
    /** Records that a call failed. @param timedOut true if it got no answer in time */
    void recordFailure(bool timedOut);

    /** Records that there were no newer rules at @p at than the ones in force. */
    void confirm(TimePoint at);

    /** Time since the last confirmation, or since the construction. */
    Duration confirmationAge(TimePoint now) const
    {
        return now - m_confirmedAt;
    }

    /** True if the store answered the last call. */
    bool storeAnswers() const
    {
        return m_storeAnswers;
    }

private:
    /** Age from which a confirmation is too old. */
    Duration maximumAge() const;
    Duration minimumAnswerTime() const;

    Duration m_deadline;
    Duration m_answerTime;
    TimePoint m_confirmedAt;
    bool m_storeAnswers = false;
};

} // namespace Pimentohollow
