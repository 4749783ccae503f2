#pragma once

#include "mesh/decisions/accountallowance.h"
#include "mesh/decisions/repeatbudget.h"
#include "mesh/decisions/treeadmission.h"
#include "mesh/messages/meshframes.h"
#include "mesh/node/nametable.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Pimentohollow
{

/**
 * Turns what the decisions of this node report into status frames and digests, and those of other nodes into reports for its own
 * decisions.
 */
class StatusExchange
{
public:
    StatusExchange(AccountAllowance &accountRateLimiter,
                   RepeatBudget &retryBudget,
                   TreeAdmission &treeAdmission,
                   CrashTracker &crashTracker);

    /** Time between the status frames of a node that has so many peers. */
    static Duration intervalFor(std::size_t peers);

    /** @param nodes known to the directory, this one included @param interval between the status frames of a node */
    void setFleet(std::size_t nodes, Duration interval);

    void setAccounts(const std::vector<TrafficAccount> &accounts, TimePoint now);

    /** Adds what changed since the last regular frame. */
    void fillPeriodic(StatusFrame &status, TimePoint now);
    /** Adds everything, for a node that hears this one for the first time. */
    void fillInitial(StatusFrame &status, TimePoint now);
    /** So much was spent since the last regular frame that the others should know at once. */
    bool isUrgent() const;

    /** Adds what the nodes of the own data centre do together. */
    void fillDigest(DigestFrame &digest, TimePoint now);
    /** The own data centre has spent so much since the last digest that the others should know at once. */
    bool isDigestUrgent() const;
    /**
     * Takes what another data centre does; false if the digest is not used: it is not newer than the last one, or comes from a second node
     * that takes itself for the relay, while the first one is heard.
     */
    bool applyDigest(const DigestFrame &digest, TimePoint now);
    /** Takes only what a node of another data centre tells directly. */
    void applyCrashes(const StatusFrame &status);

    /** Parts of the frame whose names are unknown are left out. */
    void applyStatus(const NodeName &sender, const StatusFrame &status, TimePoint now);
    /** Drops the names of all nodes but these. */
    void retainNamesOf(const std::set<NodeName> &nodes);

private:
    /** The relay whose digests of a data centre are used. */
    struct DigestSource {
        std::string relayAddress;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        TimePoint lastDigestAt{};

        NodeName reporter() const;
    };

    using DemandByService = std::map<ServiceName, RankDemand>;

    static void fill(StatusFrame &status,
                     NameTable &names,
                     const std::vector<AccountSpending> &usage,
                     const std::vector<ServiceRepeats> &retries,
                     const DemandByService &demandByService);
    /** @param names those of the sender, by number */
    void applyReports(const Reporter &reporter, const std::vector<std::string> &names, const StatusFrame &status, TimePoint now);
    void forgetReporter(const NodeName &name);

    AccountAllowance &m_accountRateLimiter;
    RepeatBudget &m_retryBudget;
    TreeAdmission &m_treeAdmission;
    CrashTracker &m_crashTracker;
    NameTable m_nameTable;
    /** Names of the other nodes, by number. */
    std::unordered_map<NodeName, std::vector<std::string>> m_namesByPeer;
    std::map<DataCentreName, DigestSource> m_digestSources;
    Duration m_statusInterval{};
};

} // namespace Pimentohollow
