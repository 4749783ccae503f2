#pragma once

#include "core/clock.h"
#include "core/names.h"
#include "mesh/decisions/reporter.h"
#include "mesh/model/trafficrules.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Pimentohollow
{

/** Rate and burst of a client account over the whole fleet. */
struct AccountLimit {
    double ratePerSecond = 0;
    double burst = 0;

    bool operator==(const AccountLimit &) const = default;
};

inline AccountLimit limitOf(const TrafficAccount &account)
{
    constexpr double Milli = 1000;
    return { account.milliRate / Milli, static_cast<double>(account.burst) };
}

/** Usage of one account at one node or in one data centre. */
struct AccountUsage {
    AccountName account;
    /** Requests per second, admitted or not. */
    double demand = 0;
    /** Requests admitted since the reporter started. */
    std::uint32_t admitted = 0;
    /**
     * Tokens that the fleet's bucket lacks to be full. Set only in a snapshot or in the report of a data centre, and only once the
     * reporting node has warmed up.
     */
    std::optional<double> deficit = std::nullopt;
    /** Requests that the nodes of a data centre may have admitted since their last reports to their relay. */
    double unreported = 0;
};

/**
 * Limits each client account to its rate and burst over the whole fleet, based on reports that the nodes exchange a few times per second.
 *
 * Each node keeps a copy of the account's token bucket and deducts what it admits itself and what the other nodes report. While the bucket
 * holds more tokens than the other nodes may have consumed since their last reports, requests are admitted freely, so that uneven arrivals
 * can use the whole burst and not just a fraction of it. Otherwise a node admits its share of the rate, in proportion to the demand that
 * all nodes report. The shares add up to the rate whatever the demand is; excess admissions are deducted from later ones.
 *
 * Designed for an account that sends several times its rate to all nodes at once, while other accounts send bursts within their limits. A
 * silent node is assumed to consume its share, so that a partition doesn't grant that share twice. A restarted node adopts the state of the
 * buckets from the other nodes, so that a restart doesn't grant the burst again.
 *
 * Nodes of a data centre report to each other; another data centre is represented by the sums that its relay sends (dataCentreReport()).
 * Not thread-safe; the caller passes the time.
 */
class AccountRateLimiter
{
public:
    /**
     * @param startedAt when this node started to receive reports; an account may have consumed its burst before then, unknown to this node
     */
    explicit AccountRateLimiter(TimePoint startedAt);

    /** @param nodes number of nodes in the directory, this one included */
    void setNodes(std::size_t nodes);
    /** Sets how often nodes report. A node that misses a report counts as silent. */
    void setReportInterval(Duration interval);
    /**
     * Applies a report of another node. The first report of a node must be its snapshot(): an account that first appears in a later report
     * is assumed to have consumed nothing before.
     */
    void applyReport(const Reporter &reporter, const std::vector<AccountUsage> &usage, TimePoint now);
    /** Removes a reporter that another one has replaced; its usage stays counted. */
    void forgetReporter(const NodeName &name);
    /** Returns the total usage of the reporting nodes of this data centre, with the state of the buckets, and marks it as reported. */
    std::vector<AccountUsage> dataCentreReport(TimePoint now);
    /** True if this data centre has admitted so much since dataCentreReport() that the other data centres need a report at once. */
    bool dataCentreReportIsUrgent() const;
    /** Returns the number of nodes of this data centre that aren't silent, this one included. */
    std::size_t reportingNodesInDataCentre(TimePoint now);

    /** Starts to track the bucket of an account, so that usage at other nodes is known before the first request arrives here. */
    void setLimit(const AccountName &account, const AccountLimit &limit, TimePoint now);
    /**
     * Counts the request as demand and decides on it. Returns nothing if it is admitted, otherwise the time after which to retry.
     * @param reservedFraction fraction of the burst, and of the unused tokens of this node's share, that must be left afterwards, 0 to 1
     */
    std::optional<Duration> admit(const AccountName &account, const AccountLimit &limit, TimePoint now, double reservedFraction = 0);
    /** As admit(), but consumes no token: consumeToken() must follow at once if the request is admitted. */
    std::optional<Duration> check(const AccountName &account, const AccountLimit &limit, TimePoint now, double reservedFraction = 0);
    /** Consumes the token of a request that check() has just accepted. */
    void consumeToken(const AccountName &account);
    /** Returns the tokens that admit() could use: those that other nodes can't have consumed. */
    double available(const AccountName &account, const AccountLimit &limit, TimePoint now);
    /** Consumes a token even if there is none, and counts the request as demand. */
    void consume(const AccountName &account, const AccountLimit &limit, TimePoint now);
    /** Returns the number of requests admitted by this node since it started. */
    std::uint32_t admitted(const AccountName &account) const;
    /** Returns the usage at this node since it started and marks it as reported. Accounts without demand are left out. */
    std::vector<AccountUsage> takeReport(TimePoint now);
    /** Returns all accounts with the state of their buckets, as the first report to another node. */
    std::vector<AccountUsage> snapshot(TimePoint now) const;
    /** True if this node has admitted so much since the last report that the others need a report at once. */
    bool reportIsUrgent() const
    {
        return m_urgent;
    }

    /** Returns this node's share of the demand for @p account, 0 to 1. */
    double share(const AccountName &account, TimePoint now);
    /** Returns this node's estimate of the tokens in the fleet's bucket of @p account. */
    double level(const AccountName &account) const;

private:
    struct Account {
        AccountLimit limit;
        /** Estimated tokens in the fleet's bucket; negative if too much was admitted. */
        double level = 0;
        TimePoint levelUpdatedAt{};
        bool initialized = false;
        /** Tokens that the bucket lacks to be full, as another node reported it, and when. */
        std::optional<double> reportedDeficit;
        TimePoint deficitReportedAt{};
        /** This node's requests per second, as a moving average. */
        double demand = 0;
        TimePoint demandUpdatedAt{};
        std::uint32_t admitted = 0;
        std::uint32_t admittedAtReport = 0;
        /** Requests admitted in the whole data centre since this node started, and up to the last dataCentreReport(). */
        std::uint32_t dataCentreAdmitted = 0;
        std::uint32_t dataCentreAdmittedAtReport = 0;
        /** Tokens of this node's share of the rate, used while the bucket is empty. */
        double shareTokens = 0;
        TimePoint shareUpdatedAt{};
        /** Sum over all peers of the reported demand, and of the demand times the time of the report in seconds. */
        double peerDemand = 0;
        double peerDemandTimeSum = 0;
    };
    struct PeerAccount {
        double demand = 0;
        double reportedAtSeconds = 0;
        std::uint32_t admitted = 0;
    };
    struct Peer {
        TimePoint lastReportAt{};
        std::size_t nodes = 1;
        bool sameDataCentre = true;
        std::unordered_map<AccountName, PeerAccount> accounts;
    };

    Account &refreshAccount(const AccountName &account, const AccountLimit &limit, TimePoint now);
    static void updateDemand(Account &account, double count, TimePoint now);
    static double currentLevel(const Account &account, TimePoint now);
    /** Applies the first report of a node on an account. */
    void applyFirstReport(Account &account, const AccountUsage &usage, bool sameDataCentre, TimePoint now) const;
    bool isSilent(const Peer &peer, TimePoint now) const;
    /** True if this node has started too recently to know the state of the buckets by itself. */
    bool isWarmingUp(TimePoint now) const;
    void subtractPeerDemand(Account &account, const PeerAccount &peer);
    /**
     * Estimated demand of silent and uncovered nodes beyond what they last reported; their share of the total demand is reserved for them.
     */
    double silentDemand(const AccountName &name, const Account &account) const;
    double unreportedUsage(const Account &account, TimePoint now) const;
    /** Tokens of the bucket that other nodes can't have consumed unreported and that aren't reserved for silent nodes. */
    double freeTokens(const AccountName &name, const Account &account, TimePoint now) const;
    void consumeToken(Account &account);
    /** Number of requests admitted since the last report above which the next report is urgent. */
    double urgentReportThreshold(const Account &account) const;
    double share(const AccountName &name, const Account &account) const;
    void updateSilentPeers(TimePoint now);
    /** Number of nodes in the directory that no reporter covers. */
    std::size_t uncoveredNodes() const;
    std::size_t nodesCoveredBy(const std::vector<NodeName> &reporters) const;
    /** Number of nodes that the reporters cover, this one included. */
    std::size_t coveredNodes() const;

    TimePoint m_startedAt;
    Duration m_reportInterval{};
    std::size_t m_nodes = 1;
    bool m_urgent = false;
    TimePoint m_nextPeerCheck{};
    std::unordered_map<AccountName, Account> m_accounts;
    std::unordered_map<NodeName, Peer> m_peers;
    /** Peers that were silent at the last check. */
    std::vector<NodeName> m_silentPeers;
    /** Number of nodes that all of m_peers cover. */
    std::size_t m_peerNodes = 0;
};

} // namespace Pimentohollow
