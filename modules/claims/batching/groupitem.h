#pragma once

#include "claims/claim.h"
#include "core/clock.h"

#include <string>
#include <variant>
#include <vector>

namespace Pimentohollow
{

/** Makes a claim if its key is free. */
struct ClaimItem {
    Claim claim;
    /** When nobody waits for the claim any more; on the clock of the process that holds the batcher. */
    TimePoint giveUpAt{};
};

/** Records the outcome of a claim, or that it is lost. The body is inline or already in the object store. */
struct OutcomeItem {
    Claim claim;
};

/** Removes a claim whose request did not run. */
struct ReleaseItem {
    ClaimReference claim;
};

/** One entry of a group commit. */
using GroupItem = std::variant<ClaimItem, OutcomeItem, ReleaseItem>;

/** The row is written and carries the own claim id: the request may run. */
struct ClaimGranted {
};

/** Another claim holds the key. */
struct ClaimTaken {
    Claim existing;
};

/** The claim was not confirmed: the request must not run. */
struct ClaimNotMade {
    Error error;
    /** The row may still appear, because a write was left without an answer; the batcher releases it by its claim id. */
    bool mayAppear = false;
};

struct OutcomeRecorded {
};

/** An outcome or a release that can't be written: the row no longer carries the claim id, or the write is invalid. */
struct UpkeepRejected {
    Error error;
};

/** The row is gone or belongs to another claim. */
struct ClaimReleased {
};

using ItemVerdict = std::variant<ClaimGranted, ClaimTaken, ClaimNotMade, OutcomeRecorded, UpkeepRejected, ClaimReleased>;

/** What became of a GroupItem. */
struct ItemResult {
    std::string claimId;
    ItemVerdict verdict;
};

/** Commits a group in one transaction. */
struct CommitGroup {
    std::vector<TableOperation> operations;
    std::string token;
};

/** Reads the rows of claims of which it is not known who holds them. */
struct ReadBack {
    std::vector<ClaimKey> keys;
};

using BatchOperation = std::variant<CommitGroup, ReadBack>;

/** One entry per key of the ReadBack, in the same order; nothing for a row that doesn't exist. */
struct ReadBackResult {
    std::vector<std::optional<Claim>> claims;
};

using BatchResult = std::variant<Result<TransactionResult>, Result<ReadBackResult>>;

} // namespace Pimentohollow
