#pragma once

#include "core/random.h"
#include "quota/bucket/quotaledger.h"
#include "quota/exchange/accounthome.h"
#include "quota/exchange/grantpolicy.h"
#include "quota/quotafaults.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Pimentohollow
{

/** A message to another node; the owner looks its address up in the member table. */
struct QuotaOutput {
    NodeName to;
    std::variant<TokenRequest, TokenGrant> message;
};

enum class AdmissionState {
    Admitted,
    Waiting, ///< tokens may arrive: try again after the next grant, at the latest at waitUntil
    Refused,
    UnknownAccount,
};

struct Admission {
    AdmissionState state = AdmissionState::Refused;
    TimePoint waitUntil{};
    /** For a refusal: when the account's rate will have minted a token for this request. */
    Duration retryAfter{};
};

struct ExchangeCounters {
    std::uint64_t requestsSent = 0;
    std::uint64_t grantsSent = 0;
    std::uint64_t grantsAccepted = 0;
    /** Late, repeated, or never asked for. */
    std::uint64_t grantsDiscarded = 0;
};

/**
 * Moves tokens and the right to mint to where an account's requests arrive.
 *
 * Every 100 ms a node whose demand exceeds what it mints asks a few peers, those of its data centre first, for the
 * missing rate as a loan of 2 s, which is extended while it is needed; most requests then find a token. One that doesn't
 * waits at most 20 ms. For accounts with a small burst see AccountHome. Lost messages lose tokens, repeated and late ones
 * add nothing. Not thread-safe.
 */
class TokenExchange
{
public:
    /** Longest time that a request waits for tokens. */
    static constexpr Duration WaitTime = std::chrono::milliseconds(20);

    /** @param ledger and @param random must outlive this object */
    TokenExchange(NodeName self, DataCentreName dataCentre, QuotaLedger &ledger, Random &random, QuotaFaults faults = {});

    /** The other live nodes of the fleet. */
    void setPeers(std::vector<QuotaPeer> peers, TimePoint now);

    /**
     * Admits a request or says how it goes on.
     * @param firstTried nothing for a new request, else when it was tried first
     */
    Admission admit(const AccountName &account, std::optional<TimePoint> firstTried, TimePoint now);

    /** Asks for what the recent demand will need; call about every 100 ms. */
    void tick(TimePoint now);

    void receive(const NodeName &sender, const TokenRequest &request, TimePoint now);

    /** True if requests that wait for the account should be tried again. */
    bool receive(const NodeName &sender, const TokenGrant &grant, TimePoint now);

    std::vector<QuotaOutput> takeMessages();
    const ExchangeCounters &counters() const;

private:
    struct Pending {
        AccountName account;
        NodeName to;
        TimePoint sentAt{};
        bool waiting = false;
    };
    struct Waiter {
        NodeName node;
        TokenRequest request;
        TimePoint since{};
    };
    /** What is known about a peer as a lender of one account. */
    struct Lender {
        TimePoint nextAsk{};
        /** Rate of the loan that runs until @ref until. */
        std::uint64_t rate = 0;
        TimePoint until{};
        /** Request of the last grant, which names the loan. */
        std::uint64_t loan = 0;
        bool asked = false;
        /** Its last answer to a request that waited was empty, so it isn't asked before @ref nextAsk even if one waits. */
        bool empty = false;
    };
    /** State of the exchange for one account. */
    struct Flow {
        std::size_t cursor = 0;
        /** Empty grants in a row. */
        std::size_t empty = 0;
        Duration backoff{};
        TimePoint nextRound{};
        TimePoint lastUrgent{};
        /** The home said that there is no token. */
        TimePoint emptyUntil{};
        std::map<NodeName, Lender> lenders;
        /** At the home: requests of other nodes that wait for a whole token. */
        std::deque<Waiter> waiters;
        /** Requests without an answer yet. */
        std::size_t outstanding = 0;
    };

    Admission refuse(const AccountName &account, TimePoint now);
    void seek(const AccountName &account, Flow &flow, const std::optional<NodeName> &home, TimePoint now);
    bool hopeless(const AccountName &account, const Flow &flow, TimePoint now);
    void askPeers(const AccountName &account, Flow &flow, std::size_t count, bool urgent, TimePoint now);
    void askLender(Flow &flow, const NodeName &node, const TokenRequest &request, TimePoint now);
    void returnSurplus(const AccountName &account, Flow &flow, TimePoint now);
    void collect(const AccountName &account, Flow &flow, TimePoint now);
    void serveWaiters(const AccountName &account, Flow &flow, TimePoint now);
    void noteGrant(Flow &flow, const Pending &pending, const TokenGrant &grant, TimePoint now);
    void sendRequest(const NodeName &to, TokenRequest request, TimePoint now);
    void sendGrant(const NodeName &to, TokenGrant grant);
    std::uint64_t missingRate(const AccountName &account, TimePoint now);
    bool lowStock(const AccountName &account, TimePoint now);
    std::optional<NodeName> homeOf(const AccountName &account) const;
    void expirePending(TimePoint now);

    NodeName m_self;
    DataCentreName m_dataCentre;
    QuotaLedger &m_ledger;
    Random &m_random;
    QuotaFaults m_faults;
    GrantPolicy m_policy;
    AccountHome m_home;
    /** Holders of shares: those of this data centre first. */
    std::vector<QuotaPeer> m_holders;
    std::size_t m_localHolders = 0;
    std::vector<QuotaPeer> m_peers;
    std::unordered_map<AccountName, Flow> m_flows;
    std::map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_lastRequest;
    std::vector<QuotaOutput> m_messages;
    ExchangeCounters m_counters;
};

} // namespace Pimentohollow
