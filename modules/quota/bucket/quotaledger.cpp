#include "quota/bucket/quotaledger.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace Pimentohollow
{

namespace
{
/** Short enough to follow a shift before the tokens at hand are used up. */
constexpr double ShortTermSeconds = 1.0;
/** Long enough that the demand of a few requests per second doesn't look idle between two of them. */
constexpr double LongTermSeconds = 5.0;

/** value * numerator / denominator without overflow, rounded down. */
std::uint64_t scaled(std::uint64_t value, std::uint64_t numerator, std::uint64_t denominator)
{
    return value / denominator * numerator + value % denominator * numerator / denominator;
}
} // namespace

QuotaLedger::QuotaLedger(QuotaFaults faults)
    : m_faults(faults)
{
}

void QuotaLedger::setAccounts(const std::map<AccountName, AccountRate> &accounts, std::uint32_t split, TimePoint now)
{
    assert(split > 0);
    settleShares(now);
    m_accounts = accounts;
    m_split = split;
    // A removed account keeps its bucket while a part is lent: if it is added again, that part must not be minted twice.
    for (auto it = m_buckets.begin(); it != m_buckets.end();) {
        const bool unused = !m_accounts.contains(it->first) && !it->second.hasLent(now);
        it = unused ? m_buckets.erase(it) : std::next(it);
    }
    std::erase_if(m_demand, [this](const auto &it) {
        return !m_accounts.contains(it.first);
    });
    for (const auto &[name, rate] : m_accounts) {
        m_buckets.try_emplace(name, BucketLimits{}, now);
    }
    resize(now);
}

void QuotaLedger::setSplit(std::uint32_t split, std::uint32_t index, TimePoint now)
{
    assert(split > 0);
    if (split != m_split || index != m_index) {
        settleShares(now);
        m_split = split;
        m_index = index;
        resize(now);
    }
}

void QuotaLedger::setHoldings(const std::vector<ShareHolding> &holdings, TimePoint now)
{
    if (holdings == m_holdings) {
        return;
    }
    settleShares(now);
    m_holdings = holdings;
    m_activeShares = sharesAt(now);
    m_nextChange = nextChange(now);
    resize(now);
}

TakeResult QuotaLedger::tryTake(const AccountName &account, TimePoint now)
{
    countDemand(account, 1, now);
    return retake(account, now);
}

TakeResult QuotaLedger::retake(const AccountName &account, TimePoint now)
{
    auto *it = bucket(account, now);
    if (it == nullptr) {
        return TakeResult::UnknownAccount;
    }
    return it->tryTake(OneToken, now) ? TakeResult::Taken : TakeResult::Empty;
}

double QuotaLedger::demand(const AccountName &account, TimePoint now) const
{
    const auto it = m_demand.find(account);
    if (it == m_demand.end()) {
        return 0;
    }
    const auto age = std::max(0.0, std::chrono::duration<double>(now - it->second.at).count());
    return it->second.shortTerm * std::exp(-age / ShortTermSeconds);
}

double QuotaLedger::averageDemand(const AccountName &account, TimePoint now) const
{
    const auto it = m_demand.find(account);
    if (it == m_demand.end()) {
        return 0;
    }
    const auto age = std::max(0.0, std::chrono::duration<double>(now - it->second.at).count());
    return it->second.longTerm * std::exp(-age / LongTermSeconds);
}

double QuotaLedger::steadyDemand(const AccountName &account, TimePoint now) const
{
    return std::max(demand(account, now), averageDemand(account, now));
}

TimePoint QuotaLedger::lastRequest(const AccountName &account) const
{
    const auto it = m_demand.find(account);
    return it == m_demand.end() ? TimePoint{} : it->second.at;
}

void QuotaLedger::countDemand(const AccountName &account, double requests, TimePoint now)
{
    if (!m_accounts.contains(account)) {
        return;
    }
    auto &it = m_demand[account];
    const auto age = std::max(0.0, std::chrono::duration<double>(now - it.at).count());
    it.shortTerm = it.shortTerm * std::exp(-age / ShortTermSeconds) + requests / ShortTermSeconds;
    it.longTerm = it.longTerm * std::exp(-age / LongTermSeconds) + requests / LongTermSeconds;
    it.at = now;
}

TokenBucket *QuotaLedger::bucket(const AccountName &account, TimePoint now)
{
    settleShares(now);
    const auto it = m_buckets.find(account);
    return it == m_buckets.end() || !m_accounts.contains(account) ? nullptr : &it->second;
}

std::optional<AccountRate> QuotaLedger::rate(const AccountName &account) const
{
    const auto it = m_accounts.find(account);
    return it == m_accounts.end() ? std::nullopt : std::optional(it->second);
}

const std::map<AccountName, AccountRate> &QuotaLedger::accounts() const
{
    return m_accounts;
}

std::uint32_t QuotaLedger::split() const
{
    return m_split;
}

std::size_t QuotaLedger::activeShares(TimePoint now)
{
    settleShares(now);
    return m_activeShares.size();
}

TimePoint QuotaLedger::firstLeaseEnd(TimePoint now) const
{
    auto end = TimePoint::max();
    for (const auto &it : m_holdings) {
        if (it.mintFrom <= now && it.mintUntil > now) {
            end = std::min(end, it.mintUntil);
        }
    }
    return end;
}

bool QuotaLedger::hasLent(TimePoint now)
{
    return std::any_of(m_buckets.begin(), m_buckets.end(), [now](auto &it) {
        return it.second.hasLent(now);
    });
}

void QuotaLedger::settleShares(TimePoint now)
{
    // After a pause several leases may have begun or ended; each change takes effect at its own time.
    while (m_nextChange <= now) {
        const auto time = m_nextChange;
        m_activeShares = sharesAt(time);
        resize(time);
        m_nextChange = nextChange(time);
    }
}

TimePoint QuotaLedger::nextChange(TimePoint after) const
{
    auto next = TimePoint::max();
    for (const auto &it : m_holdings) {
        for (const auto time : { it.mintFrom, it.mintUntil }) {
            next = time > after ? std::min(next, time) : next;
        }
    }
    return next;
}

void QuotaLedger::resize(TimePoint now)
{
    for (auto &[name, it] : m_buckets) {
        const auto before = it.limits(now);
        const auto account = m_accounts.find(name);
        const auto limits =
            account == m_accounts.end() ? BucketLimits{} : BucketLimits{ portion(account->second.rate), portion(account->second.burst) };
        it.setBase(limits, now);
        if (m_faults.newHolderStartsFull && limits.capacity > before.capacity) {
            it.fill(now);
        }
    }
}

std::vector<std::uint8_t> QuotaLedger::sharesAt(TimePoint now) const
{
    std::vector<std::uint8_t> shares;
    for (const auto &it : m_holdings) {
        if (it.mintFrom <= now && (now < it.mintUntil || m_faults.leaseIgnored)) {
            shares.push_back(it.share);
        }
    }
    return shares;
}

std::uint64_t QuotaLedger::portion(std::uint64_t value) const
{
    // Differences of a running sum, so that the parts add up to the value: a burst of one token stays one whole token.
    const auto all = std::uint64_t{ SharesPerDataCentre } * m_split;
    std::uint64_t sum = 0;
    for (const auto it : m_activeShares) {
        const auto place = std::uint64_t{ SharesPerDataCentre } * m_index + it;
        sum += scaled(value, place + 1, all) - scaled(value, place, all);
    }
    return sum;
}

} // namespace Pimentohollow
