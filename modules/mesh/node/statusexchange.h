#pragma once

#include "mesh/decisions/accountratelimiter.h"
#include "mesh/decisions/calltreeadmission.h"
#include "mesh/decisions/serviceretrybudget.h"
#include "mesh/messages/meshframes.h"
#include "mesh/node/namelist.h"

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
    StatusExchange(AccountRateLimiter &accounts, ServiceRetryBudget &repeats, CallTreeAdmission &trees, CrashTracker &crashes);

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

    /** Adds what the nodes of the own data centre do together. */
    void fillDigest(DigestFrame &digest, TimePoint now);
    /** The own data centre has spent so much since the last digest that the others should know at once. */
    bool isDigestUrgent() const;
    /**
     * Takes what another data centre does; false if the digest is not used: it is not newer than the last one, or comes from a second node
     * that takes itself for the relay, while the first one is heard.
     */
    bool takeDigest(const DigestFrame &digest, TimePoint now);
    /** Takes only what a node of another data centre tells directly. */
    void takeCrashes(const StatusFrame &status);

    /** Parts of the frame whose names are unknown are left out. */
    void take(const NodeName &sender, const StatusFrame &status, TimePoint now);
    /** Drops the names of all nodes but these. */
    void keepNamesOf(const std::set<NodeName> &nodes);

private:
    /** The relay whose digests of a data centre are used. */
    struct Source {
        std::string relay;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        TimePoint heardAt{};

        NodeName reporter() const;
    };

    using TreeDemands = std::map<ServiceName, RankDemand>;

    static void fill(StatusFrame &status,
                     NameList &names,
                     const std::vector<AccountUsage> &spending,
                     const std::vector<ServiceRetryUsage> &repeats,
                     const TreeDemands &trees);
    /** @param names those of the sender, by number */
    void takeReports(const Reporter &reporter, const std::vector<std::string> &names, const StatusFrame &status, TimePoint now);
    void forgetReporter(const NodeName &name);

    AccountRateLimiter &m_accounts;
    ServiceRetryBudget &m_repeats;
    CallTreeAdmission &m_trees;
    CrashTracker &m_crashes;
    NameList m_names;
    /** Names of the other nodes, by number. */
    std::unordered_map<NodeName, std::vector<std::string>> m_peerNames;
    std::map<DataCentreName, Source> m_sources;
    Duration m_interval{};
};

} // namespace Pimentohollow
