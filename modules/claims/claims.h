/**
 * @file
 * Public parts of the module claims: at-most-once claims on Idempotency-Keys, their group commit and their outcomes.
 *
 * ClaimRegistry and ClaimBatcher are state machines without input or output; ClaimExecutor performs their operations.
 * See docs/claims.md for the crash points.
 */
#pragma once

#include "claims/batching/claimbatcher.h"
#include "claims/batching/groupitem.h"
#include "claims/claim.h"
#include "claims/execution/claimexecutor.h"
#include "claims/expiry/claimsweeper.h"
#include "claims/gathering/claimgathering.h"
#include "claims/registry/claimregistry.h"
#include "claims/registry/claimverdict.h"
