#pragma once

#include "mesh/decisions/accountallowance.h"
#include "mesh/decisions/repeatbudget.h"
#include "mesh/decisions/treeadmission.h"
#include "mesh/messages/meshframes.h"
#include "mesh/node/namelist.h"

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

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
    void fillFirst(StatusFrame &status, TimePoint now);
    /** So much was spent since the last regular frame that the others should know at once. */
    bool isUrgent() const;

    /** Parts of the frame whose names are unknown are left out. */
    void take(const NodeName &sender, const StatusFrame &status, TimePoint now);
    /** Drops the names of all nodes but these. */
    void keepNamesOf(const std::set<NodeName> &nodes);

private:
    void fill(StatusFrame &status, const std::vector<AccountSpending> &spending, const std::vector<ServiceRepeats> &repeats);
    void fillTrees(StatusFrame &status);

    AccountAllowance &m_accounts;
    RepeatBudget &m_repeats;
    TreeAdmission &m_trees;
    CrashTracker &m_crashes;
    NameList m_names;
    /** Names of the other nodes, by number. */
    std::unordered_map<NodeName, std::vector<std::string>> m_peerNames;
};

} // namespace Pimentohollow
