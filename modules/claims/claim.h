#pragma once

#include "core/clock.h"
#include "core/enumtable.h"
#include "core/names.h"
#include "storage/interfaces/tableservice.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Pimentohollow
{

/** What a claim is made on: the same Idempotency-Key of two accounts names two requests. */
struct ClaimKey {
    AccountName account;
    std::string idempotencyKey;

    bool operator==(const ClaimKey &) const = default;

    friend bool operator<(const ClaimKey &a, const ClaimKey &b)
    {
        return std::tie(a.account, a.idempotencyKey) < std::tie(b.account, b.idempotencyKey);
    }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(account, idempotencyKey);
    }
};

/** The process that runs a claimed request. */
struct ClaimOwner {
    NodeName node;
    /** Differs between two processes of the same node; constant while a process lives. */
    std::uint64_t incarnation = 0;

    bool operator==(const ClaimOwner &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(node, incarnation);
    }
};

enum class ClaimState {
    Running, ///< claimed; the request may be running
    Finished, ///< the outcome is recorded
    Lost, ///< the run ended without a known outcome
};

inline constexpr auto ClaimStateNames = makeEnumTable<ClaimState>({
    { ClaimState::Running, "running" },
    { ClaimState::Finished, "finished" },
    { ClaimState::Lost, "lost" },
});

struct OutcomeHeader {
    std::string name;
    std::string value;

    bool operator==(const OutcomeHeader &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(name, value);
    }
};

/** The answer of a finished request, as a resend gets it. */
struct ClaimOutcome {
    int status = 0;
    std::vector<OutcomeHeader> headers;
    std::string body;
    /** Key of the object that holds the body; empty if the body is in the row. */
    std::string bodyObject;

    bool operator==(const ClaimOutcome &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(status, headers, body, bodyObject);
    }
};

/** One claim, as it is stored in one row. */
struct Claim {
    ClaimKey key;
    /** Hash of the request; a resend under the same key must have the same one. */
    std::string fingerprint;
    /** Unique in the fleet and never used twice; the condition of every later write of the row. */
    std::string claimId;
    ClaimOwner owner;
    ClaimState state = ClaimState::Running;
    WallTime claimedAt{};
    WallTime expiresAt{};
    /** Set for ClaimState::Finished only. */
    std::optional<ClaimOutcome> outcome;

    bool operator==(const Claim &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, fingerprint, claimId, owner, state, claimedAt, expiresAt, outcome);
    }
};

/** A claim's address without its contents, as listed for the removal of expired claims. */
struct ClaimReference {
    ClaimKey key;
    std::string claimId;

    bool operator==(const ClaimReference &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, claimId);
    }
};

/** Outcomes are kept for 24 h after the request has finished. */
inline constexpr std::chrono::hours OutcomeRetention{ 24 };
/** Longest run plus clock differences between VMs, added to the retention because the row's expiry is fixed when it is claimed. */
inline constexpr std::chrono::hours ExpiryMargin{ 1 };
/** A row of the table service holds at most 400 KB, and a group of 25 outcomes must fit into one transaction of 4 MB. */
inline constexpr std::size_t LargestInlineBody = 4096;
inline constexpr std::size_t LongestIdempotencyKey = 255;
/** Attribute that holds the claim id; conditions refer to it. */
inline constexpr std::string_view ClaimIdAttribute = "claim_id";

/** Whether the key is 1 to 255 visible ASCII characters, so that it can be part of a row's address. */
bool isValidIdempotencyKey(std::string_view key);

RowKey claimRowKey(const ClaimKey &key);
Row claimToRow(const Claim &claim);
/** Fails with InvalidInput if an attribute is missing or malformed. */
Result<Claim> claimFromRow(const ClaimKey &key, const Row &row);

/** Address of the row that lists the claims of one transaction for their removal; ordered by expiry. */
RowKey expiryRowKey(const DataCentreName &dataCentre, WallTime expiresAt, const std::string &token);
/** Partition of the expiry rows of a data centre. */
std::string expiryPartition(const DataCentreName &dataCentre);
/** Sort key that is above those of all rows that expired up to @p time. */
std::string expirySortBound(WallTime time);
Row expiryRow(const std::vector<ClaimReference> &claims);
Result<std::vector<ClaimReference>> expiryFromRow(const Row &row);

/** Key of the object that holds the body of a claim's outcome. */
std::string bodyObjectKey(const std::string &claimId);

} // namespace Pimentohollow
