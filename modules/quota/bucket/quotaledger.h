#pragma once

#include "core/names.h"
#include "messages/gossip/gossipmessage.h"
#include "quota/bucket/tokenbucket.h"
#include "quota/quotafaults.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Pimentohollow
{

/** Shares per data centre; more than the nodes of a data centre today, and few enough for one row. */
inline constexpr std::size_t SharesPerDataCentre = 64;

/** What a client account may use, summed over the fleet. */
struct AccountRate {
    /** Microtokens per second. */
    std::uint64_t rate = 0;
    /** Microtokens. */
    std::uint64_t burst = 0;

    bool operator==(const AccountRate &) const = default;
};

/** A share that this node holds, and when it may mint with it. */
struct ShareHolding {
    std::uint8_t share = 0;
    TimePoint mintFrom{};
    /** End of the lease; checked at each admission. */
    TimePoint mintUntil{};

    bool operator==(const ShareHolding &) const = default;
};

enum class TakeResult {
    Taken,
    Empty,
    UnknownAccount,
};

/**
 * What this node may admit for each account: one bucket per account, sized by the shares whose lease runs.
 *
 * With s shares and D data centres a bucket mints s r/(64 D) and holds s b/(64 D). All nodes use the same proportions,
 * so while a change of rate or burst spreads, each node is at the old or the new value and the sum at most at the greater.
 * A bucket starts empty. Not thread-safe.
 */
class QuotaLedger
{
public:
    explicit QuotaLedger(QuotaFaults faults = {});

    /**
     * Accounts of the configuration in force.
     * @param split number of data centres by which this node divides, from ShareTable::split()
     */
    void setAccounts(const std::map<AccountName, AccountRate> &accounts, std::uint32_t split, TimePoint now);
    /** @param index place of this data centre among those of the configuration, so that rounding differs between them */
    void setSplit(std::uint32_t split, std::uint32_t index, TimePoint now);
    void setHoldings(const std::vector<ShareHolding> &holdings, TimePoint now);

    /** Takes one token for a request and counts the request as demand. */
    TakeResult tryTake(const AccountName &account, TimePoint now);
    /** The same for a request that waited and was counted before. */
    TakeResult retake(const AccountName &account, TimePoint now);

    /** Requests per second over about the last second. */
    double demand(const AccountName &account, TimePoint now) const;
    /** Requests per second over about the last five seconds. */
    double averageDemand(const AccountName &account, TimePoint now) const;
    /** The greater of the two; what is lent must not be missed at once. */
    double steadyDemand(const AccountName &account, TimePoint now) const;
    /** When the last request came, or the clock's epoch. */
    TimePoint lastRequest(const AccountName &account) const;
    void countDemand(const AccountName &account, double requests, TimePoint now);

    /** The bucket of an account, settled at @p now; nullptr if the account is unknown. */
    TokenBucket *bucket(const AccountName &account, TimePoint now);
    std::optional<AccountRate> rate(const AccountName &account) const;
    const std::map<AccountName, AccountRate> &accounts() const;
    std::uint32_t split() const;

    /** Number of shares that mint at @p now. */
    std::size_t activeShares(TimePoint now);

    /** End of the first lease to end, which bounds loans. */
    TimePoint firstLeaseEnd(TimePoint now) const;

    /** Whether a part of any bucket is lent, so that a share can't be given away yet. */
    bool hasLent(TimePoint now);

private:
    struct Demand {
        double shortTerm = 0;
        double longTerm = 0;
        TimePoint at{};
    };

    void settleShares(TimePoint now);
    TimePoint nextChange(TimePoint after) const;
    void resize(TimePoint now);
    std::vector<std::uint8_t> sharesAt(TimePoint now) const;
    std::uint64_t portion(std::uint64_t value) const;

    QuotaFaults m_faults;
    std::map<AccountName, AccountRate> m_accounts;
    std::uint32_t m_split = 1;
    std::uint32_t m_index = 0;
    std::vector<ShareHolding> m_holdings;
    std::vector<std::uint8_t> m_activeShares;
    /** When the next lease begins or ends. */
    TimePoint m_nextChange = TimePoint::max();
    std::unordered_map<AccountName, TokenBucket> m_buckets;
    std::unordered_map<AccountName, Demand> m_demand;
};

} // namespace Pimentohollow
