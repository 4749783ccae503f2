#pragma once

#include "core/clock.h"
#include "core/names.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Pimentohollow
{

/** One token, which admits one request, in microtokens. */
inline constexpr std::uint64_t OneToken = 1'000'000;

/** What a bucket may mint and hold. */
struct BucketLimits {
    /** Microtokens per second. */
    std::uint64_t rate = 0;
    /** Microtokens. */
    std::uint64_t capacity = 0;

    bool operator==(const BucketLimits &) const = default;
};

/**
 * Token bucket whose right to mint and to hold can be lent to another bucket for a time.
 *
 * While a loan lasts the lender's limits are smaller by what the borrower's are greater. The lender ends it later than
 * the borrower on any clock, so the limits of all buckets never add up to more than those of the fleet. Starts empty.
 */
class TokenBucket
{
public:
    TokenBucket(const BucketLimits &base, TimePoint now);

    /** Changes the bucket's own limits; tokens beyond the capacity are dropped. */
    void setBase(const BucketLimits &base, TimePoint now);

    /** Takes @p amount, or nothing and returns false. */
    bool tryTake(std::uint64_t amount, TimePoint now);

    std::uint64_t tokens(TimePoint now);

    /** The limits in force at @p now, loans included. */
    BucketLimits limits(TimePoint now);

    /** The limits at @p time, as far as they follow from the loans known now. */
    BucketLimits limitsAt(TimePoint time, TimePoint now);

    /** Own limits without what is lent; only these may be lent for long. */
    BucketLimits lendable(TimePoint now);

    /** When the first borrowed part ends, or @p now if nothing is borrowed. */
    TimePoint firstBorrowedEnd(TimePoint now);

    bool hasLent(TimePoint now);

    /** Gives away @p tokens and lends @p part to @p borrower until @p until. @param id identifies the loan */
    void lend(std::uint64_t tokens, const BucketLimits &part, const NodeName &borrower, std::uint64_t id, TimePoint until, TimePoint now);

    /** The loan of rate to @p borrower that runs now, if there is one. */
    std::optional<BucketLimits> lentTo(const NodeName &borrower, TimePoint now);

    /** Whether the bucket's own limits cover all it lent; not after its shares or the account's rate have shrunk. */
    bool coversLoans(TimePoint now);

    /** Gives away @p tokens, lets that loan end at @p until instead, and adds @p more to it. */
    void
    extendLoan(std::uint64_t tokens, const BucketLimits &more, const NodeName &borrower, std::uint64_t id, TimePoint until, TimePoint now);

    /** The borrower stopped using the loan @p id and returns @p tokens; nothing if the loan was extended since. */
    void takeBack(std::uint64_t tokens, const NodeName &borrower, std::uint64_t id, TimePoint now);

    /** Stops using the loan of rate from @p lender; the result are the tokens that no longer fit. */
    std::uint64_t giveBack(const NodeName &lender, TimePoint now);

    /** Adds @p tokens and borrows @p part from @p lender until @p until; tokens beyond the capacity are dropped. */
    void borrow(std::uint64_t tokens, const BucketLimits &part, const NodeName &lender, TimePoint until, TimePoint now);

    /** The same, but @p part takes the place of the loan of rate from @p lender that may still run. */
    void replaceLoan(std::uint64_t tokens, const BucketLimits &part, const NodeName &lender, TimePoint until, TimePoint now);

    /** For tests that switch a mechanism off. */
    void fill(TimePoint now);

private:
    struct Loan {
        TimePoint until{};
        BucketLimits part;
        NodeName peer;
        std::uint64_t id = 0;
        bool borrowed = false;
    };

    std::vector<Loan>::iterator findRateLoan(const NodeName &peer, bool borrowed);
    void insert(Loan loan);

    void settle(TimePoint now);
    void mintUntil(TimePoint time);
    BucketLimits current() const;

    BucketLimits m_base;
    BucketLimits m_lent;
    BucketLimits m_borrowed;
    /** Ordered by end. */
    std::vector<Loan> m_loans;
    std::uint64_t m_tokens = 0;
    /** Less than one microtoken that was minted but not counted yet. */
    double m_fraction = 0;
    TimePoint m_mintedUntil;
};

} // namespace Pimentohollow
