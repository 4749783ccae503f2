#include "quota/exchange/grantpolicy.h"

#include <algorithm>

namespace Pimentohollow
{

namespace
{

/** Room for demand to grow while a part is lent. */
constexpr double DemandHeadroom = 1.25;
/** Tokens kept for this much of the node's own demand. */
constexpr double ReserveSeconds = 0.3;
/** Kept even if a request of another node waits, so that the next request here needs no exchange. */
constexpr std::uint64_t LeastKept = OneToken;
/** A shorter loan would end before the waiting request can use it. */
constexpr Duration ShortestLoan = std::chrono::milliseconds(15);

std::uint64_t beyond(std::uint64_t value, double needed)
{
    const auto left = static_cast<double>(value) - needed;
    return left > 0 ? static_cast<std::uint64_t>(left) : 0;
}

std::uint64_t share(std::uint64_t value, std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<std::uint64_t>(static_cast<double>(value) * static_cast<double>(part) / static_cast<double>(whole));
}

} // namespace

TimePoint TransferTimes::lenderEnd(Duration loan, TimePoint now)
{
    return now + loan + loan * MarginPercent / 100;
}

GrantPolicy::GrantPolicy(QuotaLedger &ledger, QuotaFaults faults)
    : m_ledger(ledger)
    , m_faults(faults)
{
}

TokenGrant GrantPolicy::spare(const NodeName &taker, const TokenRequest &request, TimePoint now)
{
    TokenGrant grant{ request.request, request.account, 0, 0, 0, 0, false, false };
    auto *bucket = m_ledger.bucket(request.account, now);
    if (bucket == nullptr) {
        return grant;
    }
    const auto demand = m_ledger.steadyDemand(request.account, now) * static_cast<double>(OneToken);
    const auto running = request.rate > 0 ? bucket->lentTo(taker, now) : std::nullopt;
    if (running && demand > static_cast<double>(bucket->limits(now).rate)) {
        return grant;
    }
    const auto lendable = bucket->lendable(now);
    const auto wanted = request.rate - std::min(request.rate, running ? running->rate : 0);
    grant.rate = std::min(wanted, beyond(lendable.rate, demand * DemandHeadroom));
    grant.tokens = std::min({ request.tokens, beyond(bucket->tokens(now), demand * ReserveSeconds), lendable.capacity });
    if (request.waiting && grant.tokens < OneToken && bucket->tokens(now) >= LeastKept + OneToken) {
        // Without it the waiting request is refused; this node's next ones find what is minted until they come.
        grant.tokens = std::min(OneToken, lendable.capacity);
    }
    grant.capacity = std::min(lendable.capacity, std::max(grant.tokens, share(lendable.capacity, grant.rate, lendable.rate)));
    return lend(*bucket, taker, grant, grant.rate > 0 || running ? TransferTimes::RateLoan : TransferTimes::Window, now);
}

TokenGrant GrantPolicy::everything(const NodeName &taker, const TokenRequest &request, TimePoint now)
{
    TokenGrant grant{ request.request, request.account, 0, 0, 0, 0, false, false };
    auto *bucket = m_ledger.bucket(request.account, now);
    if (bucket == nullptr) {
        return grant;
    }
    const auto lendable = bucket->lendable(now);
    grant.rate = std::min(request.rate, lendable.rate);
    grant.tokens = std::min({ request.tokens, bucket->tokens(now), lendable.capacity });
    grant.capacity = request.rate > 0 ? lendable.capacity : grant.tokens;
    return lend(*bucket, taker, grant, request.rate > 0 ? TransferTimes::RateLoan : TransferTimes::WholeTokenLoan, now);
}

TokenGrant GrantPolicy::wholeTokens(const NodeName &taker, const TokenRequest &request, TimePoint now)
{
    TokenGrant grant{ request.request, request.account, 0, 0, 0, 0, false, false };
    auto *bucket = m_ledger.bucket(request.account, now);
    if (bucket == nullptr) {
        return grant;
    }
    auto loan = TransferTimes::WholeTokenLoan;
    auto capacity = bucket->lendable(now).capacity;
    if (capacity < OneToken && bucket->firstBorrowedEnd(now) > now) {
        // Borrowed capacity may be passed on only until it has to be back.
        const auto left = bucket->firstBorrowedEnd(now) - now;
        loan = std::min(loan, left * 100 / (100 + TransferTimes::MarginPercent));
        capacity = bucket->limits(now).capacity;
    }
    const auto possible = std::min({ request.tokens, bucket->tokens(now), capacity });
    if (loan < ShortestLoan) {
        return grant;
    }
    grant.tokens = possible / OneToken * OneToken;
    grant.capacity = grant.tokens;
    return lend(*bucket, taker, grant, loan, now);
}

TokenGrant GrantPolicy::lend(TokenBucket &bucket, const NodeName &taker, TokenGrant grant, Duration loan, TimePoint now)
{
    const auto running = loan == TransferTimes::RateLoan ? bucket.lentTo(taker, now) : std::nullopt;
    const auto end = TransferTimes::lenderEnd(loan, now);
    const bool nothing = grant.tokens == 0 && grant.rate == 0 && !running;
    if (nothing || end > m_ledger.firstLeaseEnd(now) || (running && !bucket.coversLoans(now))) {
        return { grant.request, grant.account, 0, 0, 0, 0, false, false };
    }
    // Tokens that no longer fit are given along instead of being dropped.
    const auto capacity = bucket.limits(now).capacity;
    const auto left = capacity - std::min(capacity, grant.capacity);
    const auto kept = bucket.tokens(now) - grant.tokens;
    grant.tokens = std::min(grant.tokens + kept - std::min(kept, left), grant.capacity);
    grant.loanMilliseconds = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(loan).count());
    if (running) {
        extend(bucket, taker, *running, grant, now);
        return grant;
    }
    const BucketLimits part = m_faults.giverKeepsCapacity ? BucketLimits{} : BucketLimits{ grant.rate, grant.capacity };
    bucket.lend(m_faults.giverKeepsTokens ? 0 : grant.tokens, part, taker, grant.request, end, now);
    return grant;
}

void GrantPolicy::extend(TokenBucket &bucket, const NodeName &taker, const BucketLimits &part, TokenGrant &grant, TimePoint now)
{
    const auto end = TransferTimes::lenderEnd(TransferTimes::RateLoan, now);
    bucket.extendLoan(m_faults.giverKeepsTokens ? 0 : grant.tokens, { grant.rate, grant.capacity }, taker, grant.request, end, now);
    grant.rate += part.rate;
    grant.capacity += part.capacity;
    grant.extends = true;
}

} // namespace Pimentohollow
