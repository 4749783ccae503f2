#pragma once

#include "core/clock.h"
#include "messages/gossip/gossipmessage.h"
#include "quota/bucket/quotaledger.h"
#include "quota/quotafaults.h"

namespace Pimentohollow
{

/** Times that bound transfers of tokens between nodes. */
struct TransferTimes {
    /** A grant that arrives more than this after its request is discarded. */
    static constexpr Duration Window = std::chrono::milliseconds(500);
    /** How long a part of the right to mint is lent: demand that moves gets its tokens back within this time. */
    static constexpr Duration RateLoan = std::chrono::seconds(2);
    /** A token of a small account is used at once by a waiting request, and its capacity is needed again soon. */
    static constexpr Duration WholeTokenLoan = std::chrono::milliseconds(40);
    /** How long before its end a loan of rate is extended. */
    static constexpr Duration Renewal = std::chrono::seconds(1);
    /** The lender counts a loan this much longer than the borrower, for clocks that run apart. */
    static constexpr int MarginPercent = 10;

    /** When the lender may use a part again that is lent for @p loan from @p now. */
    static TimePoint lenderEnd(Duration loan, TimePoint now);
};

/**
 * Decides what a node gives away for a request, and takes it out of the bucket before the grant is returned.
 * The amounts may be zero, so that the asking node need not wait for a timeout.
 */
class GrantPolicy
{
public:
    explicit GrantPolicy(QuotaLedger &ledger, QuotaFaults faults = {});

    /** Gives what this node's own demand doesn't need. */
    TokenGrant spare(const NodeName &taker, const TokenRequest &request, TimePoint now);

    /** Gives all that is asked for, for an account whose tokens are gathered at one node. */
    TokenGrant everything(const NodeName &taker, const TokenRequest &request, TimePoint now);

    /** Gives whole tokens for immediate use, from own or borrowed capacity. */
    TokenGrant wholeTokens(const NodeName &taker, const TokenRequest &request, TimePoint now);

private:
    TokenGrant lend(TokenBucket &bucket, const NodeName &taker, TokenGrant grant, Duration loan, TimePoint now);
    void extend(TokenBucket &bucket, const NodeName &taker, const BucketLimits &part, TokenGrant &grant, TimePoint now);

    QuotaLedger &m_ledger;
    QuotaFaults m_faults;
};

} // namespace Pimentohollow
