#include "keys/keytable.h"

#include "keys/clientkey.h"

#include <cassert>
#include <cstring>
#include <mutex>

namespace Pimentohollow
{

namespace
{

std::uint64_t leadingBytes(const KeyDigest &digest)
{
    std::uint64_t value = 0;
    std::memcpy(&value, digest.data(), sizeof(value));
    return value;
}

/** What one key contributes to the digest of the set; independent of the byte order. */
std::uint64_t contribution(const std::string &pepper, const KeyId &key)
{
    const KeyDigest digest = keyDigest(pepper, "withdrawn:" + key.text());
    std::uint64_t value = 0;
    for (std::size_t n = 0; n < sizeof(value); ++n) {
        value = value << 8 | digest[n];
    }
    return value;
}

} // namespace

KeyTable::KeyTable(std::string pepper)
    : m_pepper(std::move(pepper))
{
    assert(!m_pepper.empty());
}

void KeyTable::replaceKeys(const std::vector<KeyRecord> &keys)
{
    std::unordered_multimap<std::uint64_t, KeyRecord> table;
    table.reserve(keys.size());
    for (const auto &it : keys) {
        table.emplace(leadingBytes(it.digest), it);
    }
    const std::unique_lock lock(m_mutex);
    m_keys = std::move(table);
    for (const auto &it : keys) {
        if (it.withdrawn) {
            addWithdrawn(it.id);
            m_recorded.insert(it.id);
        }
    }
}

KeyCheck KeyTable::check(std::string_view presentedKey) const
{
    if (!ClientKey::wellFormed(presentedKey)) {
        return {};
    }
    const KeyDigest digest = keyDigest(m_pepper, presentedKey);
    const std::shared_lock lock(m_mutex);
    const auto [first, last] = m_keys.equal_range(leadingBytes(digest));
    for (auto it = first; it != last; ++it) {
        if (sameDigest(it->second.digest, digest)) {
            const bool withdrawn = m_withdrawn.contains(it->second.id);
            return { withdrawn ? KeyStatus::Withdrawn : KeyStatus::Valid, it->second.id, it->second.account };
        }
    }
    return {};
}

bool KeyTable::withdraw(const SignedWithdrawal &withdrawal)
{
    if (!verifyWithdrawal(m_pepper, withdrawal)) {
        return false;
    }
    const std::unique_lock lock(m_mutex);
    addWithdrawn(withdrawal.withdrawal.key);
    m_signed.emplace(withdrawal.withdrawal.key, withdrawal);
    return true;
}

bool KeyTable::isWithdrawn(const KeyId &key) const
{
    const std::shared_lock lock(m_mutex);
    return m_withdrawn.contains(key);
}

std::uint64_t KeyTable::withdrawalsDigest() const
{
    const std::shared_lock lock(m_mutex);
    return m_digest;
}

std::vector<SignedWithdrawal> KeyTable::signedWithdrawals() const
{
    const std::shared_lock lock(m_mutex);
    std::vector<SignedWithdrawal> result;
    for (const auto &it : m_signed) {
        result.push_back(it.second);
    }
    return result;
}

std::vector<SignedWithdrawal> KeyTable::unrecordedWithdrawals() const
{
    const std::shared_lock lock(m_mutex);
    std::vector<SignedWithdrawal> result;
    for (const auto &[key, withdrawal] : m_signed) {
        if (!m_recorded.contains(key)) {
            result.push_back(withdrawal);
        }
    }
    return result;
}

std::size_t KeyTable::size() const
{
    const std::shared_lock lock(m_mutex);
    return m_keys.size();
}

void KeyTable::addWithdrawn(const KeyId &key)
{
    if (m_withdrawn.insert(key).second) {
        m_digest ^= contribution(m_pepper, key);
    }
}

} // namespace Pimentohollow
