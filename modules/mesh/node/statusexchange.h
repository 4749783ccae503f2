#pragma once

#include "mesh/decisions/accountallowance.h"
#include "mesh/decisions/repeatbudget.h"
#include "mesh/decisions/treeadmission.h"
#include "mesh/messages/meshframes.h"

namespace Pimentohollow
{

/** Turns what the decisions of this node report into status frames, and those of other nodes into reports for its own decisions. */
class StatusExchange
{
public:
    StatusExchange(AccountAllowance &accounts, RepeatBudget &repeats, TreeAdmission &trees, CrashTracker &crashes);

    /** Time between the status frames of a node that has so many peers. */
    static Duration intervalFor(std::size_t peers);

    /** @param nodes known to the directory, this one included @param interval between the status frames of a node */
    void setFleet(std::size_t nodes, Duration interval);

    void setAccounts(const std::vector<TrafficAccount> &accounts, TimePoint now);

    /** Adds what changed since the last regular frame. */
    void fillRegular(StatusFrame &status, TimePoint now);
    /** Adds everything, for a node that hears this one for the first time. */
    void fillFirst(StatusFrame &status, TimePoint now) const;
    /** So much was spent since the last regular frame that the others should know at once. */
    bool isUrgent() const;

    void take(const NodeName &sender, const StatusFrame &status, TimePoint now);

private:
    void fillTrees(StatusFrame &status) const;

    AccountAllowance &m_accounts;
    RepeatBudget &m_repeats;
    TreeAdmission &m_trees;
    CrashTracker &m_crashes;
};

} // namespace Pimentohollow
