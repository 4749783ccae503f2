#pragma once

#include "core/error.h"
#include "core/names.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Pimentohollow
{

/** An operator's statement that a key is no longer valid; permanent. */
struct Withdrawal {
    KeyId key;
    /** The operator, for the audit entry. */
    std::string author;
    std::string reason;
    /** Seconds since 1970, UTC. */
    std::int64_t time = 0;

    bool operator==(const Withdrawal &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, author, reason, time);
    }
};

/**
 * A withdrawal that travels without the platform: to a node, and from there by gossip. Any node can check that it comes
 * from a holder of the pepper and wasn't altered.
 */
struct SignedWithdrawal {
    Withdrawal withdrawal;
    /** HMAC-SHA256 under the pepper, lower-case hex. */
    std::string signature;

    bool operator==(const SignedWithdrawal &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(withdrawal, signature);
    }
};

SignedWithdrawal signWithdrawal(std::string_view pepper, const Withdrawal &withdrawal);

bool verifyWithdrawal(std::string_view pepper, const SignedWithdrawal &withdrawal);

/** The body of POST /v1/withdrawals: a JSON object with key, author, reason, time and signature. */
std::string writeWithdrawal(const SignedWithdrawal &withdrawal);

/** InvalidInput if the text isn't such an object; the signature isn't checked here. */
Result<SignedWithdrawal> parseWithdrawal(const std::string &text);

} // namespace Pimentohollow
