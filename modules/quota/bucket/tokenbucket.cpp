#include "quota/bucket/tokenbucket.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace Pimentohollow
{

namespace
{

std::uint64_t difference(std::uint64_t a, std::uint64_t b)
{
    return a > b ? a - b : 0;
}

BucketLimits operator+(const BucketLimits &a, const BucketLimits &b)
{
    return { a.rate + b.rate, a.capacity + b.capacity };
}

BucketLimits operator-(const BucketLimits &a, const BucketLimits &b)
{
    return { difference(a.rate, b.rate), difference(a.capacity, b.capacity) };
}

} // namespace

TokenBucket::TokenBucket(const BucketLimits &base, TimePoint now)
    : m_base(base)
    , m_mintedUntil(now)
{
}

void TokenBucket::setBase(const BucketLimits &base, TimePoint now)
{
    settle(now);
    m_base = base;
    m_tokens = std::min(m_tokens, current().capacity);
}

bool TokenBucket::tryTake(std::uint64_t amount, TimePoint now)
{
    settle(now);
    if (m_tokens < amount) {
        return false;
    }
    m_tokens -= amount;
    return true;
}

std::uint64_t TokenBucket::tokens(TimePoint now)
{
    settle(now);
    return m_tokens;
}

BucketLimits TokenBucket::limits(TimePoint now)
{
    settle(now);
    return current();
}

BucketLimits TokenBucket::limitsAt(TimePoint time, TimePoint now)
{
    settle(now);
    BucketLimits lent;
    BucketLimits borrowed;
    for (const auto &it : m_loans) {
        auto &sum = it.borrowed ? borrowed : lent;
        sum = it.until > time ? sum + it.part : sum;
    }
    return (m_base + borrowed) - lent;
}

BucketLimits TokenBucket::lendable(TimePoint now)
{
    settle(now);
    return m_base - m_lent;
}

TimePoint TokenBucket::firstBorrowedEnd(TimePoint now)
{
    settle(now);
    const auto it = std::find_if(m_loans.begin(), m_loans.end(), [](const Loan &loan) {
        return loan.borrowed;
    });
    return it == m_loans.end() ? now : it->until;
}

bool TokenBucket::hasLent(TimePoint now)
{
    settle(now);
    return std::any_of(m_loans.begin(), m_loans.end(), [](const Loan &loan) {
        return !loan.borrowed;
    });
}

void TokenBucket::lend(
    std::uint64_t tokens, const BucketLimits &part, const NodeName &borrower, std::uint64_t id, TimePoint until, TimePoint now)
{
    settle(now);
    assert(tokens <= m_tokens);
    m_tokens -= tokens;
    m_lent = m_lent + part;
    insert({ until, part, borrower, id, false });
    m_tokens = std::min(m_tokens, current().capacity);
}

std::optional<BucketLimits> TokenBucket::lentTo(const NodeName &borrower, TimePoint now)
{
    settle(now);
    const auto it = findRateLoan(borrower, false);
    return it == m_loans.end() ? std::nullopt : std::optional(it->part);
}

bool TokenBucket::coversLoans(TimePoint now)
{
    settle(now);
    return m_lent.rate <= m_base.rate && m_lent.capacity <= m_base.capacity;
}

void TokenBucket::extendLoan(
    std::uint64_t tokens, const BucketLimits &more, const NodeName &borrower, std::uint64_t id, TimePoint until, TimePoint now)
{
    settle(now);
    const auto it = findRateLoan(borrower, false);
    assert(it != m_loans.end() && tokens <= m_tokens);
    auto loan = *it;
    loan.until = std::max(loan.until, until);
    loan.part = loan.part + more;
    loan.id = id;
    m_loans.erase(it);
    insert(std::move(loan));
    m_lent = m_lent + more;
    m_tokens = std::min(m_tokens - tokens, current().capacity);
}

void TokenBucket::takeBack(std::uint64_t tokens, const NodeName &borrower, std::uint64_t id, TimePoint now)
{
    settle(now);
    const auto it = findRateLoan(borrower, false);
    if (it == m_loans.end() || it->id != id) {
        return;
    }
    const auto returned = std::min(tokens, it->part.capacity);
    m_lent = m_lent - it->part;
    m_loans.erase(it);
    m_tokens = std::min(m_tokens + returned, current().capacity);
}

std::uint64_t TokenBucket::giveBack(const NodeName &lender, TimePoint now)
{
    settle(now);
    const auto it = findRateLoan(lender, true);
    if (it == m_loans.end()) {
        return 0;
    }
    m_borrowed = m_borrowed - it->part;
    m_loans.erase(it);
    const auto excess = difference(m_tokens, current().capacity);
    m_tokens -= excess;
    return excess;
}

void TokenBucket::borrow(std::uint64_t tokens, const BucketLimits &part, const NodeName &lender, TimePoint until, TimePoint now)
{
    settle(now);
    if (until > now) {
        m_borrowed = m_borrowed + part;
        insert({ until, part, lender, 0, true });
    }
    m_tokens = std::min(m_tokens + tokens, current().capacity);
}

void TokenBucket::replaceLoan(std::uint64_t tokens, const BucketLimits &part, const NodeName &lender, TimePoint until, TimePoint now)
{
    settle(now);
    const auto it = findRateLoan(lender, true);
    if (it != m_loans.end()) {
        m_borrowed = m_borrowed - it->part;
        m_loans.erase(it);
    }
    borrow(tokens, part, lender, until, now);
}

std::vector<TokenBucket::Loan>::iterator TokenBucket::findRateLoan(const NodeName &peer, bool borrowed)
{
    return std::find_if(m_loans.begin(), m_loans.end(), [&peer, borrowed](const Loan &it) {
        return it.borrowed == borrowed && it.part.rate > 0 && it.peer == peer;
    });
}

void TokenBucket::insert(Loan loan)
{
    const auto earlier = [](const Loan &a, const Loan &b) {
        return a.until < b.until;
    };
    const auto place = std::upper_bound(m_loans.begin(), m_loans.end(), loan, earlier);
    m_loans.insert(place, std::move(loan));
}

void TokenBucket::fill(TimePoint now)
{
    settle(now);
    m_tokens = current().capacity;
}

void TokenBucket::settle(TimePoint now)
{
    while (!m_loans.empty() && m_loans.front().until <= now) {
        const auto loan = m_loans.front();
        mintUntil(loan.until);
        m_loans.erase(m_loans.begin());
        auto &sum = loan.borrowed ? m_borrowed : m_lent;
        sum = sum - loan.part;
        m_tokens = std::min(m_tokens, current().capacity);
    }
    mintUntil(now);
}

void TokenBucket::mintUntil(TimePoint time)
{
    if (time <= m_mintedUntil) {
        return;
    }
    const auto limits = current();
    const auto elapsed = std::chrono::duration<double>(time - m_mintedUntil).count();
    m_mintedUntil = time;
    const auto room = difference(limits.capacity, m_tokens);
    const auto minted = static_cast<double>(limits.rate) * elapsed + m_fraction;
    if (minted >= static_cast<double>(room)) {
        m_tokens += room;
        m_fraction = 0;
        return;
    }
    const auto whole = std::floor(minted);
    m_tokens += static_cast<std::uint64_t>(whole);
    m_fraction = minted - whole;
}

BucketLimits TokenBucket::current() const
{
    return (m_base + m_borrowed) - m_lent;
}

} // namespace Pimentohollow
