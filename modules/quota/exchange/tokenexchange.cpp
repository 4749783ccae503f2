#include "quota/exchange/tokenexchange.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Pimentohollow
{

namespace
{

/** Bounds what one account at one node may cost. */
constexpr std::size_t PeersPerRound = 8;
constexpr std::size_t PeersPerUrgentRound = 3;
constexpr Duration RoundInterval = std::chrono::milliseconds(100);
/** Between rounds that waiting requests cause. */
constexpr Duration UrgentInterval = std::chrono::milliseconds(10);
/** Before a lender whose loan grew is asked for more. */
constexpr Duration GrowthInterval = std::chrono::milliseconds(50);
constexpr Duration ShortestBackoff = std::chrono::milliseconds(200);
/** An account that uses its whole rate finds nothing anywhere; asking slows down to this. */
constexpr Duration LongestBackoff = std::chrono::milliseconds(1600);
/** A loan that ends within this time counts as ended, so that it is extended in time. */
constexpr Duration LookAhead = TransferTimes::Renewal + RoundInterval;
/** Tokens that last this long at the present demand need no loan. */
constexpr double StockSeconds = 2.0;
constexpr double DemandHeadroom = 1.1;
/** Loans above this multiple of the demand go back; the distance to the headroom keeps them from moving to and fro. */
constexpr double SurplusFactor = 1.3;
/** While requests find no token, the demand is still growing or was underestimated. */
constexpr double EmptyFactor = 2.0;
/** Tokens that last less than this are topped up before requests find none. */
constexpr double LowStockSeconds = 0.3;
/** Tokens asked for along with the rate, as a time at the present demand. */
constexpr double TokensSeconds = 0.5;
/** Requests per second below which a node doesn't prefetch. */
constexpr double LeastDemand = 0.5;
/** Almost three times the standard deviation of demand() when requests arrive at random with this rate. */
double chance(double requestsPerSecond)
{
    return 2.0 * std::sqrt(requestsPerSecond);
}

constexpr Duration HomeEmptyTime = std::chrono::milliseconds(50);
/** A home keeps the tokens of a small account gathered for this long after the last request. */
constexpr Duration HomeActiveTime = std::chrono::minutes(10);
/** One request to the home per waiting request, up to this. */
constexpr std::size_t MaximumOutstanding = 64;
constexpr Duration LongestRetryAfter = std::chrono::seconds(60);

} // namespace

TokenExchange::TokenExchange(NodeName self, DataCentreName dataCentre, QuotaLedger &ledger, Random &random, QuotaFaults faults)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_ledger(ledger)
    , m_random(random)
    , m_faults(faults)
    , m_policy(ledger, faults)
    , m_home(m_self, m_dataCentre)
    // A new process must not take a late answer to its predecessor for its own.
    , m_lastRequest(random.engine()() >> 16)
{
}

void TokenExchange::setPeers(std::vector<QuotaPeer> peers, TimePoint now)
{
    if (peers == m_peers) {
        return;
    }
    m_peers = std::move(peers);
    m_holders.clear();
    std::copy_if(m_peers.begin(), m_peers.end(), std::back_inserter(m_holders), [](const QuotaPeer &it) {
        return it.shares > 0;
    });
    std::shuffle(m_holders.begin(), m_holders.end(), m_random.engine());
    const auto remote = std::stable_partition(m_holders.begin(), m_holders.end(), [this](const QuotaPeer &it) {
        return it.dataCentre == m_dataCentre;
    });
    m_localHolders = static_cast<std::size_t>(remote - m_holders.begin());
    m_home.setPeers(m_peers, m_ledger.activeShares(now));
}

Admission TokenExchange::admit(const AccountName &account, std::optional<TimePoint> firstTried, TimePoint now)
{
    const auto result = firstTried ? m_ledger.retake(account, now) : m_ledger.tryTake(account, now);
    if (result == TakeResult::UnknownAccount) {
        return { AdmissionState::UnknownAccount, now, {} };
    }
    if (result == TakeResult::Taken) {
        return { AdmissionState::Admitted, now, {} };
    }
    auto &flow = m_flows[account];
    const auto deadline = firstTried.value_or(now) + WaitTime;
    // After empty answers the remaining peers are asked, as long as the request may wait.
    if (!firstTried || (now < deadline && flow.outstanding == 0)) {
        seek(account, flow, homeOf(account), now);
    }
    if (now >= deadline || hopeless(account, flow, now)) {
        return refuse(account, now);
    }
    return { AdmissionState::Waiting, deadline, {} };
}

void TokenExchange::tick(TimePoint now)
{
    expirePending(now);
    for (const auto &[account, rate] : m_ledger.accounts()) {
        auto &flow = m_flows[account];
        serveWaiters(account, flow, now);
        const auto home = homeOf(account);
        const auto last = m_ledger.lastRequest(account);
        if (home) {
            if (*home == m_self && last != TimePoint{} && now - last < HomeActiveTime) {
                collect(account, flow, now);
            }
            continue;
        }
        returnSurplus(account, flow, now);
        const bool idle = m_ledger.demand(account, now) < LeastDemand;
        if (!idle && now >= flow.nextRound && (missingRate(account, now) > 0 || lowStock(account, now))) {
            flow.nextRound = now + RoundInterval;
            askPeers(account, flow, PeersPerRound, false, now);
        }
    }
}

void TokenExchange::receive(const NodeName &sender, const TokenRequest &request, TimePoint now)
{
    const auto home = homeOf(request.account);
    if (!home) {
        sendGrant(sender, m_policy.spare(sender, request, now));
        return;
    }
    if (*home != m_self) {
        const bool fromHome = *home == sender;
        sendGrant(sender, fromHome ? m_policy.everything(sender, request, now) : m_policy.wholeTokens(sender, request, now));
        return;
    }
    m_ledger.countDemand(request.account, 1, now);
    auto &flow = m_flows[request.account];
    flow.waiters.push_back({ sender, request, now });
    collect(request.account, flow, now);
    serveWaiters(request.account, flow, now);
}

bool TokenExchange::receive(const NodeName &sender, const TokenGrant &grant, TimePoint now)
{
    if (grant.returns) {
        if (auto *bucket = m_ledger.bucket(grant.account, now)) {
            bucket->takeBack(grant.tokens, sender, grant.request, now);
        }
        return false;
    }
    const auto it = m_pending.find(grant.request);
    const bool known = it != m_pending.end() && it->second.to == sender && it->second.account == grant.account;
    if (!known || (now - it->second.sentAt > TransferTimes::Window && !m_faults.lateGrantsAccepted)) {
        ++m_counters.grantsDiscarded;
        return false;
    }
    const auto pending = it->second;
    if (!m_faults.repeatedGrantsAccepted) {
        m_pending.erase(it);
    }
    auto &flow = m_flows[grant.account];
    noteGrant(flow, pending, grant, now);
    flow.lenders[sender].loan = grant.rate > 0 ? grant.request : flow.lenders[sender].loan;
    auto *bucket = m_ledger.bucket(grant.account, now);
    if (bucket == nullptr) {
        return false;
    }
    ++m_counters.grantsAccepted;
    // Counted from the request, so that the loan ends here before it ends at the lender.
    const auto loan = std::chrono::milliseconds(grant.loanMilliseconds);
    const auto from = m_faults.lateGrantsAccepted ? now : pending.sentAt;
    const BucketLimits part{ grant.rate, grant.capacity };
    if (grant.extends) {
        bucket->replaceLoan(grant.tokens, part, sender, from + loan, now);
    } else {
        bucket->borrow(grant.tokens, part, sender, from + loan, now);
    }
    serveWaiters(grant.account, flow, now);
    return true;
}

std::vector<QuotaOutput> TokenExchange::takeMessages()
{
    return std::exchange(m_messages, {});
}

const ExchangeCounters &TokenExchange::counters() const
{
    return m_counters;
}

Admission TokenExchange::refuse(const AccountName &account, TimePoint now)
{
    const auto rate = m_ledger.rate(account);
    auto *bucket = m_ledger.bucket(account, now);
    if (!rate || bucket == nullptr || rate->rate == 0) {
        return { AdmissionState::Refused, now, LongestRetryAfter };
    }
    // The missing part of a token at the whole rate, times how far the demand here exceeds what is minted here.
    const auto missing = static_cast<double>(OneToken - std::min(OneToken, bucket->tokens(now))) / static_cast<double>(rate->rate);
    const auto minted = std::max<double>(1.0, static_cast<double>(bucket->limits(now).rate));
    const auto excess = std::clamp(m_ledger.demand(account, now) * static_cast<double>(OneToken) / minted, 1.0, 100.0);
    const auto wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing * excess));
    return { AdmissionState::Refused, now, std::min(wait, LongestRetryAfter) };
}

void TokenExchange::seek(const AccountName &account, Flow &flow, const std::optional<NodeName> &home, TimePoint now)
{
    if (home && *home == m_self) {
        collect(account, flow, now);
    } else if (home) {
        if (now >= flow.emptyUntil && flow.outstanding < MaximumOutstanding) {
            sendRequest(*home, { 0, account, OneToken, 0, true }, now);
        }
    } else if (now >= flow.lastUrgent + UrgentInterval) {
        flow.lastUrgent = now;
        askPeers(account, flow, PeersPerUrgentRound, true, now);
    } else if (flow.outstanding == 0) {
        askPeers(account, flow, PeersPerUrgentRound, false, now);
    }
}

bool TokenExchange::hopeless(const AccountName &account, const Flow &flow, TimePoint now)
{
    if (flow.outstanding > 0) {
        return false;
    }
    auto *bucket = m_ledger.bucket(account, now);
    const auto minted = static_cast<double>(bucket->limits(now).rate) * std::chrono::duration<double>(WaitTime).count();
    return static_cast<double>(bucket->tokens(now)) + minted < static_cast<double>(OneToken);
}

void TokenExchange::askPeers(const AccountName &account, Flow &flow, std::size_t count, bool urgent, TimePoint now)
{
    auto rate = missingRate(account, now);
    const auto demand = m_ledger.demand(account, now) * static_cast<double>(OneToken);
    // A new node has no demand to go by; one share of the burst keeps its first requests from asking one by one.
    const auto leastTokens = std::max(OneToken, m_ledger.rate(account).value_or(AccountRate{}).burst / SharesPerDataCentre);
    const auto tokens = std::max(leastTokens, static_cast<std::uint64_t>(demand * TokensSeconds));
    // Loans that end soon are extended before others are asked for more.
    for (const auto &[node, lender] : std::map(flow.lenders)) {
        const bool ending = lender.until > now && lender.until - now <= LookAhead;
        if (ending && lender.rate > 0 && now >= lender.nextAsk && !lender.asked && rate > 0) {
            askLender(flow, node, { 0, account, tokens, rate, urgent }, now);
            rate -= std::min(rate, lender.rate);
        }
    }
    const bool low = lowStock(account, now);
    for (std::size_t n = 0; n < m_holders.size() && count > 0 && (rate > 0 || low); ++n) {
        flow.cursor = flow.cursor < m_holders.size() ? flow.cursor : 0;
        const auto &node = m_holders[flow.cursor++].node;
        const auto &lender = flow.lenders[node];
        const bool due = now >= lender.nextAsk || (urgent && !lender.empty);
        if (due && !lender.asked) {
            const auto running = lender.until > now ? lender.rate : 0;
            askLender(flow, node, { 0, account, tokens, rate > 0 ? rate + running : 0, urgent }, now);
            --count;
        }
    }
}

void TokenExchange::askLender(Flow &flow, const NodeName &node, const TokenRequest &request, TimePoint now)
{
    // One request at a time, so that an extension can't arrive before the loan that it replaces.
    flow.lenders[node].asked = true;
    sendRequest(node, request, now);
}

void TokenExchange::returnSurplus(const AccountName &account, Flow &flow, TimePoint now)
{
    auto *bucket = m_ledger.bucket(account, now);
    const auto demand = m_ledger.demand(account, now);
    const auto needed = (demand + chance(demand + 1)) * SurplusFactor * static_cast<double>(OneToken);
    for (auto &[node, lender] : flow.lenders) {
        const bool running = lender.until > now && lender.rate > 0 && !lender.asked;
        if (!running || static_cast<double>(bucket->limits(now).rate) - static_cast<double>(lender.rate) < needed) {
            continue;
        }
        // This node stops first; a return that is lost or late changes nothing, the loan ends by itself.
        const auto tokens = bucket->giveBack(node, now);
        sendGrant(node, { lender.loan, account, tokens, 0, 0, 0, false, true });
        lender.rate = 0;
        lender.until = {};
    }
}

void TokenExchange::collect(const AccountName &account, Flow &flow, TimePoint now)
{
    const auto rate = m_ledger.rate(account);
    if (!rate) {
        return;
    }
    const auto holders = AccountHome::fleetWide(*rate, m_ledger.split()) ? m_holders.size() : m_localHolders;
    for (std::size_t n = 0; n < holders; ++n) {
        const auto &node = m_holders[n].node;
        const auto &lender = flow.lenders[node];
        if (now >= lender.nextAsk && !lender.asked) {
            askLender(flow, node, { 0, account, rate->burst, rate->rate, false }, now);
        }
    }
}

void TokenExchange::serveWaiters(const AccountName &account, Flow &flow, TimePoint now)
{
    while (!flow.waiters.empty()) {
        const auto front = flow.waiters.front();
        const bool expired = now - front.since >= WaitTime || hopeless(account, flow, now);
        const auto grant = m_policy.wholeTokens(front.node, front.request, now);
        if (grant.tokens == 0 && !expired) {
            return;
        }
        sendGrant(front.node, grant);
        flow.waiters.pop_front();
    }
}

void TokenExchange::noteGrant(Flow &flow, const Pending &pending, const TokenGrant &grant, TimePoint now)
{
    flow.outstanding -= flow.outstanding > 0 ? 1 : 0;
    const bool empty = grant.tokens == 0 && grant.rate == 0;
    const auto home = homeOf(grant.account);
    if (home && *home == pending.to) {
        flow.emptyUntil = empty ? now + HomeEmptyTime : TimePoint{};
        return;
    }
    flow.empty = empty ? flow.empty + 1 : 0;
    if (flow.empty >= m_holders.size()) {
        flow.backoff = std::min(LongestBackoff, std::max(ShortestBackoff, flow.backoff * 2));
        flow.empty = 0;
    } else if (!empty) {
        flow.backoff = {};
    }
    auto &lender = flow.lenders[pending.to];
    lender.asked = false;
    lender.empty = empty && pending.waiting;
    if (grant.rate > 0) {
        const bool grown = !grant.extends || grant.rate > lender.rate;
        lender.rate = grant.rate;
        lender.until = pending.sentAt + TransferTimes::RateLoan;
        // One that gave all it can is asked again when the loan is to be extended.
        lender.nextAsk = grown && !home ? now + GrowthInterval : lender.until - TransferTimes::Renewal;
    } else {
        lender.nextAsk = now + (empty ? std::max(ShortestBackoff, flow.backoff) : RoundInterval);
    }
}

void TokenExchange::sendRequest(const NodeName &to, TokenRequest request, TimePoint now)
{
    request.request = ++m_lastRequest;
    m_pending[request.request] = { request.account, to, now, request.waiting };
    ++m_flows[request.account].outstanding;
    m_messages.push_back({ to, std::move(request) });
    ++m_counters.requestsSent;
}

void TokenExchange::sendGrant(const NodeName &to, TokenGrant grant)
{
    m_messages.push_back({ to, std::move(grant) });
    ++m_counters.grantsSent;
}

std::uint64_t TokenExchange::missingRate(const AccountName &account, TimePoint now)
{
    auto *bucket = m_ledger.bucket(account, now);
    if (bucket == nullptr) {
        return 0;
    }
    const auto demand = m_ledger.demand(account, now);
    const auto average = m_ledger.averageDemand(account, now);
    // A sudden rise counts at once; the chance of a few requests per second doesn't.
    const auto expected = demand > average + chance(average) ? demand : average;
    const auto factor = bucket->tokens(now) < OneToken ? EmptyFactor : DemandHeadroom;
    const auto needed = expected * factor * static_cast<double>(OneToken);
    const auto later = bucket->limitsAt(now + LookAhead, now);
    const auto missing = needed - static_cast<double>(later.rate);
    const auto stock = static_cast<double>(std::min(bucket->tokens(now), later.capacity));
    return missing > 0 && stock < missing * StockSeconds ? static_cast<std::uint64_t>(missing) : 0;
}

bool TokenExchange::lowStock(const AccountName &account, TimePoint now)
{
    const auto demand = m_ledger.steadyDemand(account, now) * static_cast<double>(OneToken);
    return static_cast<double>(m_ledger.bucket(account, now)->tokens(now))
        < std::max(static_cast<double>(OneToken), demand * LowStockSeconds);
}

std::optional<NodeName> TokenExchange::homeOf(const AccountName &account) const
{
    const auto rate = m_ledger.rate(account);
    return rate ? m_home.of(account, *rate, m_ledger.split()) : std::nullopt;
}

void TokenExchange::expirePending(TimePoint now)
{
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        if (now - it->second.sentAt <= TransferTimes::Window) {
            ++it;
            continue;
        }
        auto &flow = m_flows[it->second.account];
        flow.outstanding -= flow.outstanding > 0 ? 1 : 0;
        flow.lenders[it->second.to].asked = false;
        const bool kept = m_faults.repeatedGrantsAccepted || m_faults.lateGrantsAccepted;
        it = kept ? std::next(it) : m_pending.erase(it);
    }
}

} // namespace Pimentohollow
