#pragma once

#include "node/admission/admissiongate.h"
#include "node/interfaces/claimservice.h"
#include "node/pipeline/upstreamwork.h"

#include <functional>

namespace Pimentohollow
{

/**
 * Runs an admitted request at most once per account and Idempotency-Key.
 *
 * The claim is made after admission, so that refused work causes no write, and without holding the place at the
 * upstream while the claim is committed.
 */
class ClaimStep
{
public:
    using Run = std::function<CallResult()>;

    /** @param claims null if this node has no platform: requests that need a claim are then refused */
    explicit ClaimStep(ClaimService *claims);

    /** Whether the request needs a claim: it isn't idempotent and has an Idempotency-Key. */
    static bool applies(const CallRequest &request);

    /** Claims, calls @p run if the claim allows it, and records the outcome; or repeats a recorded outcome. */
    CallResult run(const UpstreamWork &work, AdmissionGate::Slot &slot, const Run &run, Cancellation &cancellation);

private:
    CallResult runClaimed(const std::string &claimId, AdmissionGate::Slot &slot, const Run &run, Cancellation &cancellation);
    void record(const std::string &claimId, const CallResult &result);

    ClaimService *m_claims;
};

/** Equal for requests that count as the same under one Idempotency-Key: route, method, target and body. */
std::string claimFingerprint(const CallRequest &request);

} // namespace Pimentohollow
