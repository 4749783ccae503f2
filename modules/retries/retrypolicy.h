#pragma once

#include "core/enumtable.h"
#include "core/refusal.h"
#include "core/requestcontext.h"
#include "retries/retrybudget.h"
#include "retries/retryratio.h"

#include <variant>

namespace Pimentohollow
{

/** Why a failed attempt is not repeated. */
enum class GiveUpReason {
    NotUseful, ///< the failure would repeat on any upstream
    NotSafe, ///< it may have run and is not idempotent
    NoOtherUpstream,
    DeadlineTooClose,
    BudgetSpent, ///< the call chain has no retry left
    RatioSpent, ///< this node's retries reached their share of its first attempts
};

inline constexpr auto GiveUpReasonNames = makeEnumTable<GiveUpReason>({
    { GiveUpReason::NotUseful, "not_useful" },
    { GiveUpReason::NotSafe, "not_safe" },
    { GiveUpReason::NoOtherUpstream, "no_other_upstream" },
    { GiveUpReason::DeadlineTooClose, "deadline_too_close" },
    { GiveUpReason::BudgetSpent, "budget_spent" },
    { GiveUpReason::RatioSpent, "ratio_spent" },
});

/** An attempt that failed. */
struct FailedAttempt {
    RefusalReason reason = RefusalReason::UpstreamFailed;
    RunState ran = RunState::Unknown;
    /** Whether an upstream that was not tried yet admits requests of this priority. */
    bool otherUpstream = false;
    /** How long an attempt usually takes, including the way there and back. */
    Duration expectedDuration{};
};

/** The attempt is repeated on another upstream; budget and ratio have been charged. */
struct RetryElsewhere {
};

struct GiveUp {
    GiveUpReason reason = GiveUpReason::NotUseful;
};

using RetryDecision = std::variant<RetryElsewhere, GiveUp>;

/** Decides whether a failed attempt is repeated. Keeps no state of its own. */
class RetryPolicy
{
public:
    /** Charges @p budget and @p ratio only if it decides to retry; the ratio only after attempts that reached a node. */
    static RetryDecision
    decide(const RequestContext &context, const FailedAttempt &attempt, TimePoint now, RetryBudget &budget, RetryRatio &ratio);

    /** Whether another upstream could do better; false for refusals that concern the request, the account or a deeper service. */
    static bool isUseful(RefusalReason reason);

    /**
     * False if the attempt found no serving node, or one that drains and refuses without work. Its retry adds no load, and
     * charging it to the ratio would turn a failed or upgraded node into refusals.
     */
    static bool reachedNode(RefusalReason reason);
};

} // namespace Pimentohollow
