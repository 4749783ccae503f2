#pragma once

#include "mesh/decisions/accountratelimiter.h"
#include "mesh/decisions/calltreeadmission.h"
#include "mesh/decisions/serviceretrybudget.h"
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
 * Converts the reports of this node's rate limiter, retry budget and admission control into status frames and digests, and applies the
 * frames of other nodes to them.
 */
class StatusExchange
{
public:
    StatusExchange(AccountRateLimiter &accountRateLimiter,
                   ServiceRetryBudget &retryBudget,
                   CallTreeAdmission &treeAdmission,
                   CrashTracker &crashTracker);

    /** Interval between the status frames of a node with this number of peers in its data centre. */
    static Duration intervalFor(std::size_t peers);

    /** @param nodes number of nodes in the directory, including this one @param interval time between the status frames of a node */
    void setFleet(std::size_t nodes, Duration interval);

    void setAccounts(const std::vector<TrafficAccount> &accounts, TimePoint now);

    /** Adds the accounts and services with demand, the new names and the new crash reports since the last periodic frame. */
    void fillPeriodic(StatusFrame &status, TimePoint now);
    /** Adds the state of all accounts and services and all names, for a node that has just connected. */
    void fillInitial(StatusFrame &status, TimePoint now);
    /** True if usage since the last periodic frame is so high that it should be reported at once. */
    bool isUrgent() const;

    /** Adds the sums over the nodes of the own data centre. */
    void fillDigest(DigestFrame &digest, TimePoint now);
    /** True if the own data centre's usage since the last digest is so high that it should be reported at once. */
    bool isDigestUrgent() const;
    /**
     * Applies the digest of another data centre. Returns false if it is ignored: it is not newer than the last one, or comes from a second
     * node that acts as the relay while digests of the first one still arrive.
     */
    bool applyDigest(const DigestFrame &digest, TimePoint now);
    /** Applies only the crash reports, which nodes of other data centres send directly. */
    void applyCrashes(const StatusFrame &status);

    /** Applies the status of a node of the own data centre. Reports whose name index is unknown are ignored. */
    void applyStatus(const NodeName &sender, const StatusFrame &status, TimePoint now);
    /** Removes the stored names of all nodes except these. */
    void retainNamesOf(const std::set<NodeName> &nodes);

private:
    /** The relay whose digests are accepted for a data centre. */
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
                     const std::vector<AccountUsage> &usage,
                     const std::vector<ServiceRetryUsage> &retries,
                     const DemandByService &demandByService);
    /** @param names names of the sender, by index */
    void applyReports(const Reporter &reporter, const std::vector<std::string> &names, const StatusFrame &status, TimePoint now);
    void forgetReporter(const NodeName &name);

    AccountRateLimiter &m_accountRateLimiter;
    ServiceRetryBudget &m_retryBudget;
    CallTreeAdmission &m_treeAdmission;
    CrashTracker &m_crashTracker;
    NameTable m_nameTable;
    /** Names sent by each peer, by index. */
    std::unordered_map<NodeName, std::vector<std::string>> m_namesByPeer;
    std::map<DataCentreName, DigestSource> m_digestSources;
    Duration m_statusInterval{};
};

} // namespace Pimentohollow
