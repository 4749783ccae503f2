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

/** What one node, or a data centre, did for one account. */
struct AccountUsage {
    AccountName account;
    /** Requests per second that were asked for, admitted or not. */
    double demand = 0;
    /** Requests admitted since the reporter started. */
    std::uint32_t admitted = 0;
    /**
     * Tokens that the fleet's bucket lacks to be full. Only in a snapshot or in the report of a data centre, and only if the node has known
     * the bucket for long enough.
     */
    std::optional<double> deficit = std::nullopt;
    /** Requests that the nodes of a data centre may have admitted since they reported to their relay. */
    double unreported = 0;
};

/**
 * Keeps each client account to its rate and burst over the whole fleet, with what the nodes tell each other a few times a second.
 *
 * Each node keeps a copy of the account's bucket, from which it takes what it admits itself and what the others report. While the bucket
 * holds more than the others may have taken since their last reports, requests are admitted freely, so that uneven arrivals find the whole
 * burst and not a small part of it. Otherwise a node admits its share of the rate, by the demand that all nodes report. The shares add up
 * to the rate whatever the demand does; what was admitted too much is paid back.
 *
 * The load it answers: one account sends several times its rate to all nodes at once, while the others arrive in clumps within theirs. A
 * node that can't be heard is taken to spend its share, so that a partition doesn't grant it twice. A restarted node takes the state of the
 * buckets from the others, so that a restart doesn't grant the burst again.
 *
 * Nodes of a data centre report to each other; another data centre is heard through the sums that one of its nodes makes
 * (dataCentreReport()). Not thread-safe, no clock.
 */
class AccountRateLimiter
{
public:
    /** @param startedAt since when this node hears the others; before, an account may have spent its burst unseen */
    explicit AccountRateLimiter(TimePoint startedAt);

    /** @param nodes known to the directory, this one included */
    void setNodes(std::size_t nodes);
    /** How often nodes report; one that misses a report counts as silent. */
    void setReportInterval(Duration interval);
    /**
     * Takes what another node reported. The first report of a node must be its snapshot(): an account that appears later in its reports is
     * taken to have spent nothing before.
     */
    void applyReport(const Reporter &reporter, const std::vector<AccountUsage> &spending, TimePoint now);
    /** Drops a reporter whose place another one has taken; its spending stays counted. */
    void forgetReporter(const NodeName &name);
    /** What the nodes of the own data centre did together, as far as they are heard, with the state of the buckets. */
    std::vector<AccountUsage> dataCentreReport(TimePoint now);
    /** The own data centre has admitted so much since dataCentreReport() that the others should know at once. */
    bool dataCentreReportIsUrgent() const;
    /** Nodes of the own data centre that are heard now, this one included. */
    std::size_t reportingNodesInDataCentre(TimePoint now);

    /** Starts to follow the bucket of an account, so that what other nodes take is known before the first request here. */
    void setLimit(const AccountName &account, const AccountLimit &limit, TimePoint now);
    /** Counts the request and decides on it: nothing if it is admitted, or when to come back. */
    std::optional<Duration> admit(const AccountName &account, const AccountLimit &limit, TimePoint now);
    /** Tokens that the others have surely not taken; what admit() would find in the bucket. */
    double available(const AccountName &account, const AccountLimit &limit, TimePoint now);
    /** Takes a token even if there is none, and counts as demand. */
    void consume(const AccountName &account, const AccountLimit &limit, TimePoint now);
    /** Requests admitted here since the start. */
    std::uint32_t admitted(const AccountName &account) const;
    /** What this node did, for the others; accounts without demand are left out. */
    std::vector<AccountUsage> takeReport(TimePoint now);
    /** All accounts with the state of their buckets, for a node that hears this one for the first time. */
    std::vector<AccountUsage> snapshot(TimePoint now) const;
    /** So much was admitted since the last report that the others should know at once. */
    bool reportIsUrgent() const
    {
        return m_urgent;
    }

    /** This node's share of the demand for @p account, 0 to 1. */
    double share(const AccountName &account, TimePoint now);
    /** Tokens that the fleet's bucket of @p account holds, by this node's knowledge. */
    double level(const AccountName &account) const;

private:
    struct Account {
        AccountLimit limit;
        /** Tokens of the fleet's bucket, by this node's knowledge; negative if too much was admitted. */
        double level = 0;
        TimePoint levelUpdatedAt{};
        bool initialized = false;
        /** What another node told of the bucket, and when: tokens that it lacks to be full. */
        std::optional<double> reportedDeficit;
        TimePoint deficitReportedAt{};
        /** This node's requests per second, a moving average. */
        double demand = 0;
        TimePoint demandUpdatedAt{};
        std::uint32_t admitted = 0;
        std::uint32_t admittedAtReport = 0;
        /** Admitted in the whole data centre since this node started, and at the last dataCentreReport(). */
        std::uint32_t dataCentreAdmitted = 0;
        std::uint32_t dataCentreAdmittedAtReport = 0;
        /** Tokens of this node's share, for the time when the bucket is empty. */
        double shareTokens = 0;
        TimePoint shareUpdatedAt{};
        /** Sum of the demands that other nodes reported, and of the demands times the seconds at which they were reported. */
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
    /** Takes the first report of a node on an account. */
    void applyFirstReport(Account &account, const AccountUsage &spending, bool sameDataCentre, TimePoint now) const;
    bool isSilent(const Peer &peer, TimePoint now) const;
    /** This node has started too lately to know the buckets by itself. */
    bool isWarmingUp(TimePoint now) const;
    void subtractPeerDemand(Account &account, const PeerAccount &peer);
    /** Demand of the nodes that were not heard lately; their share of all demand is kept for them. */
    double silentDemand(const AccountName &name, const Account &account) const;
    double unreportedUsage(const Account &account, TimePoint now) const;
    /** Tokens of the bucket that neither other nodes may have taken unseen nor are kept for silent ones. */
    double freeTokens(const AccountName &name, const Account &account, TimePoint now) const;
    void consumeToken(Account &account);
    /** Requests admitted since the last report that the others should know at once. */
    double urgentReportThreshold(const Account &account) const;
    double share(const AccountName &name, const Account &account) const;
    void updateSilentPeers(TimePoint now);
    /** Nodes of the directory that no reporter covers. */
    std::size_t uncoveredNodes() const;
    std::size_t nodesCoveredBy(const std::vector<NodeName> &reporters) const;
    /** Nodes that the reporters cover, and this one. */
    std::size_t coveredNodes() const;

    TimePoint m_startedAt;
    Duration m_reportInterval{};
    std::size_t m_nodes = 1;
    bool m_urgent = false;
    TimePoint m_nextPeerCheck{};
    std::unordered_map<AccountName, Account> m_accounts;
    std::unordered_map<NodeName, Peer> m_peers;
    /** Those of m_peers that are silent at the moment. */
    std::vector<NodeName> m_silentPeers;
    /** Nodes that all of m_peers cover. */
    std::size_t m_peerNodes = 0;
};

} // namespace Pimentohollow
