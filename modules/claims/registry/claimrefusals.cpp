#include "claims/registry/claimrefusals.h"

namespace Pimentohollow
{

Refusal lostRefusal()
{
    return Refusal{ RefusalReason::OutcomeLost, RunState::Unknown, {}, "the request may have run, but its outcome was not recorded" };
}

Refusal notRunRefusal()
{
    return Refusal{ RefusalReason::PlatformUnavailable,
                    RunState::NotRun,
                    ClaimRetryAfter,
                    "this attempt was not run because its claim could not be recorded" };
}

Refusal inProgressRefusal()
{
    return Refusal{ RefusalReason::InProgress, RunState::Unknown, ClaimRetryAfter, "a request with the same Idempotency-Key is running" };
}

Refusal reusedRefusal()
{
    return Refusal{ RefusalReason::IdempotencyKeyReused, RunState::NotRun, {}, "the Idempotency-Key was used for another request" };
}

} // namespace Pimentohollow
