#include "membership/table/withdrawalset.h"

#include "messages/gossip/datagramcodec.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Pimentohollow
{

bool WithdrawalSet::add(const WithdrawalUpdate &withdrawal)
{
    if (!m_withdrawals.emplace(withdrawal.keyId, withdrawal).second) {
        return false;
    }
    m_digest ^= XXH3_64bits(withdrawal.keyId.data(), withdrawal.keyId.size());
    return true;
}

bool WithdrawalSet::contains(const std::string &keyId) const
{
    return m_withdrawals.contains(keyId);
}

std::size_t WithdrawalSet::size() const
{
    return m_withdrawals.size();
}

void WithdrawalSet::summarise(VersionSummary &summary) const
{
    summary.withdrawalCount = static_cast<std::uint32_t>(m_withdrawals.size());
    summary.withdrawalDigest = m_digest;
}

std::vector<WithdrawalUpdate> WithdrawalSet::nextPart(std::size_t bytes)
{
    std::vector<WithdrawalUpdate> part;
    auto it = m_withdrawals.upper_bound(m_cursor);
    while (part.size() < m_withdrawals.size()) {
        if (it == m_withdrawals.end()) {
            it = m_withdrawals.begin();
        }
        const auto size = DatagramCodec::updateBytes(it->second);
        if (size > bytes) {
            break;
        }
        bytes -= size;
        part.push_back(it->second);
        m_cursor = it->first;
        ++it;
    }
    return part;
}

} // namespace Pimentohollow
