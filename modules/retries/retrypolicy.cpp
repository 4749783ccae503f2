#include "retries/retrypolicy.h"

namespace Pimentohollow
{

bool RetryPolicy::isUseful(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::Overloaded:
    case RefusalReason::NoUpstream:
    case RefusalReason::UpstreamFailed:
    case RefusalReason::Draining:
    case RefusalReason::NotReady:
        return true;
    case RefusalReason::BadRequest:
    case RefusalReason::Unauthorized:
    case RefusalReason::NoRoute:
    case RefusalReason::RateExceeded:
    case RefusalReason::DownstreamOverloaded:
    case RefusalReason::DeadlineExceeded:
    case RefusalReason::PlatformUnavailable:
    case RefusalReason::InProgress:
    case RefusalReason::IdempotencyKeyReused:
    case RefusalReason::OutcomeLost:
    case RefusalReason::Poison:
        return false;
    }
    return false;
}

bool RetryPolicy::reachedNode(RefusalReason reason)
{
    return reason != RefusalReason::Draining && reason != RefusalReason::NoUpstream;
}

RetryDecision
RetryPolicy::decide(const RequestContext &context, const FailedAttempt &attempt, TimePoint now, RetryBudget &budget, RetryRatio &ratio)
{
    if (!isUseful(attempt.reason)) {
        return GiveUp{ GiveUpReason::NotUseful };
    }
    if (attempt.ran != RunState::NotRun && !context.idempotent) {
        return GiveUp{ GiveUpReason::NotSafe };
    }
    if (!attempt.otherUpstream) {
        return GiveUp{ GiveUpReason::NoOtherUpstream };
    }
    if (now + attempt.expectedDuration >= context.deadline) {
        return GiveUp{ GiveUpReason::DeadlineTooClose };
    }
    if (budget.left() == 0) {
        return GiveUp{ GiveUpReason::BudgetSpent };
    }
    if (reachedNode(attempt.reason) && !ratio.tryConsume()) {
        return GiveUp{ GiveUpReason::RatioSpent };
    }
    budget.tryConsume();
    return RetryElsewhere{};
}

} // namespace Pimentohollow
