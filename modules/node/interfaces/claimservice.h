#pragma once

#include "claims/registry/claimverdict.h"
#include "core/cancellation.h"

#include <string>

namespace Pimentohollow
{

/**
 * At-most-once claims for connection threads. Thread-safe; claim() waits, the other calls don't.
 * @see ClaimRegistry
 */
class ClaimService
{
public:
    virtual ~ClaimService() = default;

    /** Waits for the verdict on a request that asks to run. A cancelled request gets a refusal, and its claim is released. */
    virtual ClaimVerdict claim(const ClaimRequest &request, Cancellation &cancellation) = 0;

    /** Last check before the first byte goes to the upstream; on false the request must not run, and the claim is released. */
    virtual bool startRun(const std::string &claimId) = 0;

    /** The request has its complete answer. */
    virtual void finish(const std::string &claimId, ClaimOutcome outcome) = 0;

    /** The request may have run, but its answer is lost. */
    virtual void lose(const std::string &claimId) = 0;

    /** The request provably did not run. */
    virtual void release(const std::string &claimId) = 0;
};

} // namespace Pimentohollow
