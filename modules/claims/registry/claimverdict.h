#pragma once

#include "claims/batching/groupitem.h"
#include "claims/claim.h"
#include "core/refusal.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Pimentohollow
{

/** A non-idempotent request that asks to run. */
struct ClaimRequest {
    ClaimKey key;
    /** Hash over everything that makes two requests the same, for example RequestFingerprint::hex(). */
    std::string fingerprint;
    TimePoint deadline{};
};

/** Names one waiting request within its ClaimRegistry. */
using ClaimTicket = std::uint64_t;

/** The claim is made: the request may run once, after ClaimRegistry::startRun() has allowed it. */
struct MayRun {
    std::string claimId;
};

/** The request ran before; its answer is repeated. */
struct ReplayOutcome {
    ClaimOutcome outcome;
};

using ClaimVerdict = std::variant<MayRun, ReplayOutcome, Refusal>;

struct ClaimAnswer {
    ClaimTicket ticket = 0;
    ClaimVerdict verdict;
};

/** What is known about the process that owns a claim. */
enum class OwnerLiveness {
    Alive,
    Dead, ///< failed, left, or replaced by another process of the same node
    Unknown,
};

struct ReadClaim {
    ClaimTicket ticket = 0;
    ClaimKey key;
};

struct ReadBody {
    ClaimTicket ticket = 0;
    std::string object;
};

struct WriteBody {
    std::string claimId;
    std::string object;
    std::string body;
};

/** Reads and object writes of a ClaimRegistry; writes to the table go through a ClaimBatcher. */
using StoreOperation = std::variant<ReadClaim, ReadBody, WriteBody>;

struct ClaimRead {
    ClaimTicket ticket = 0;
    Result<std::optional<Claim>> claim;
};

struct BodyRead {
    ClaimTicket ticket = 0;
    Result<std::optional<std::string>> body;
};

struct BodyWritten {
    std::string claimId;
    Result<void> result;
};

using StoreResult = std::variant<ClaimRead, BodyRead, BodyWritten>;

} // namespace Pimentohollow
