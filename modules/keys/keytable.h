#pragma once

#include "core/enumtable.h"
#include "core/names.h"
#include "keys/keydigest.h"
#include "keys/withdrawal.h"

#include <map>
#include <optional>
#include <set>
#include <shared_mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Pimentohollow
{

/** A key as the configuration holds it. */
struct KeyRecord {
    KeyId id;
    AccountName account;
    KeyDigest digest{};
    bool withdrawn = false;
};

enum class KeyStatus {
    Valid,
    Unknown, ///< never issued, or malformed
    Withdrawn,
};

inline constexpr auto KeyStatusNames = makeEnumTable<KeyStatus>({
    { KeyStatus::Valid, "valid" },
    { KeyStatus::Unknown, "unknown" },
    { KeyStatus::Withdrawn, "withdrawn" },
});

/** Result of a check; id and account are empty for an unknown key. */
struct KeyCheck {
    KeyStatus status = KeyStatus::Unknown;
    KeyId id;
    AccountName account;
};

/**
 * The keys that a node accepts. Every request is checked here, so that a withdrawal also reaches callers that stay
 * connected.
 *
 * The set of withdrawals only grows: neither an older configuration nor the removal of a key brings one back.
 * Thread-safe.
 */
class KeyTable
{
public:
    /** @param pepper from the settings; must not be empty */
    explicit KeyTable(std::string pepper);

    /** Takes the keys of a configuration; withdrawals known so far stay in force. */
    void replaceKeys(const std::vector<KeyRecord> &keys);

    KeyCheck check(std::string_view presentedKey) const;

    /** Puts a withdrawal into force if its signature is right; it may name a key that isn't known here yet. False if refused. */
    bool withdraw(const SignedWithdrawal &withdrawal);

    bool isWithdrawn(const KeyId &key) const;

    /** Same for the same set of withdrawn keys in any order; nodes compare it by gossip. */
    std::uint64_t withdrawalsDigest() const;

    /** The signed withdrawals, for peers whose digest differs. */
    std::vector<SignedWithdrawal> signedWithdrawals() const;

    /** The signed withdrawals that the configuration doesn't contain yet and that must be recorded on the platform. */
    std::vector<SignedWithdrawal> unrecordedWithdrawals() const;

    std::size_t size() const;

private:
    void addWithdrawn(const KeyId &key);

    const std::string m_pepper;
    mutable std::shared_mutex m_mutex;
    /** By the first eight bytes of the digest; the whole digest is compared in constant time. */
    std::unordered_multimap<std::uint64_t, KeyRecord> m_keys;
    std::set<KeyId> m_withdrawn;
    std::set<KeyId> m_recorded;
    std::map<KeyId, SignedWithdrawal> m_signed;
    std::uint64_t m_digest = 0;
};

} // namespace Pimentohollow
