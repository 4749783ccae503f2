#pragma once

#include "configuration/configuration.h"
#include "core/refusal.h"
#include "quota/quota.h"
#include "runtime/gossip/gossiptask.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace Pimentohollow
{

/**
 * Counts the requests of a node against the rates of the fleet: holds shares on the platform and moves tokens by gossip.
 *
 * Its state is guarded by a mutex and not owned by one thread, because each request takes a token and a message to
 * another thread would add two thread switches to it. A thread of its own makes the blocking calls to the platform.
 */
class QuotaTask
{
public:
    /** The references must outlive the task. */
    struct Parts {
        TableService &table;
        GossipTask &gossip;
        const Clock &clock;
    };

    QuotaTask(const ShareSettings &settings, const Parts &parts, std::uint64_t seed);
    ~QuotaTask();
    QuotaTask(const QuotaTask &) = delete;
    QuotaTask &operator=(const QuotaTask &) = delete;

    void start();
    void stop();

    /** Takes a token for a request; waits at most TokenExchange::WaitTime for one to arrive. */
    std::optional<Refusal> take(const AccountName &account);

    /** Takes the quota messages and ignores the other events. Never blocks for long. */
    void onGossipEvent(const MembershipEvent &event);
    void onGossipRound(const FleetSnapshot &snapshot);
    void onConfiguration(const FleetView &view);

    /** Gives up all shares before this node leaves. */
    void drain();

    /** Waits until the platform's row names this node no more, at most until @p deadline; false if it still does. */
    bool waitUntilDrained(TimePoint deadline);

    /** Whether tokens can be had: own shares mint, or a member that holds shares is known. */
    bool usable();

    /** Shares that mint now. */
    std::size_t activeShares();
    ExchangeCounters counters();

private:
    void runTimer();
    void runPlatform();
    void tick(TimePoint now);
    void perform(const ShareAction &action);
    void settleHoldings(TimePoint now);
    void flush();
    void handle(const QuotaMessageReceived &event, const TokenRequest &message);
    void handle(const QuotaMessageReceived &event, const TokenGrant &message);
    void handle(const QuotaMessageReceived &event, const ShareRequest &message);
    void handle(const QuotaMessageReceived &event, const ShareGrant &message);
    void askForShares(const FleetSnapshot &snapshot, TimePoint now);
    Refusal refusal(Duration retryAfter) const;

    const ShareSettings m_settings;
    Parts m_parts;
    Random m_random;
    std::mutex m_mutex;
    std::condition_variable m_granted;
    std::condition_variable m_wake;
    ShareTable m_shares;
    QuotaLedger m_ledger;
    TokenExchange m_exchange;
    std::shared_ptr<const FleetSnapshot> m_peers;
    std::map<NodeName, GossipEndpoint> m_endpoints;
    std::uint64_t m_shareRequest = 0;
    NodeName m_shareRequestTo;
    TimePoint m_nextShareRequest{};
    bool m_holderKnown = false;
    std::size_t m_publishedShares = 0;
    bool m_stopping = false;
    std::thread m_timer;
    std::thread m_platform;
};

} // namespace Pimentohollow
