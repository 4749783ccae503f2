#pragma once

#include "messages/gossip/gossipmessage.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Pimentohollow
{

/** The withdrawn keys that this node knows of. Entries are added and never removed. */
class WithdrawalSet
{
public:
    /** False if the key was already withdrawn. */
    bool add(const WithdrawalUpdate &withdrawal);

    bool contains(const std::string &keyId) const;
    std::size_t size() const;

    /** Writes count and digest of the set. */
    void summarise(VersionSummary &summary) const;

    /** Entries that fit @p bytes; successive calls go round the whole set. */
    std::vector<WithdrawalUpdate> nextPart(std::size_t bytes);

private:
    std::map<std::string, WithdrawalUpdate> m_withdrawals;
    std::uint64_t m_digest = 0;
    std::string m_cursor;
};

} // namespace Pimentohollow
