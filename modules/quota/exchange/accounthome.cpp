#include "quota/exchange/accounthome.h"

#include <algorithm>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Pimentohollow
{

namespace
{
/** Below this, a bucket is too often short of a whole token. */
constexpr std::uint64_t TokensPerHolder = 2;

/**
 * Below this, chance differences between the data centres alone cause refusals: with four tokens each, 0.7 % of the
 * requests at 70 % of the rate (20 tokens/s, burst 8, two data centres).
 */
constexpr std::uint64_t TokensPerDataCentre = 8;

std::uint64_t weight(const AccountName &account, const NodeName &node)
{
    const auto seed = XXH3_64bits(account.text().data(), account.text().size());
    return XXH3_64bits_withSeed(node.text().data(), node.text().size(), seed);
}
} // namespace

AccountHome::AccountHome(NodeName self, DataCentreName dataCentre)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
{
}

void AccountHome::setPeers(const std::vector<QuotaPeer> &peers, std::size_t ownShares)
{
    m_peers = peers;
    const auto holders = std::count_if(peers.begin(), peers.end(), [](const QuotaPeer &it) {
        return it.shares > 0;
    });
    m_holders = std::max<std::size_t>(1, static_cast<std::size_t>(holders) + (ownShares > 0 ? 1 : 0));
}

std::optional<NodeName> AccountHome::of(const AccountName &account, const AccountRate &rate, std::uint32_t split) const
{
    if (rate.burst >= TokensPerHolder * OneToken * m_holders) {
        return std::nullopt;
    }
    const bool fleet = fleetWide(rate, split);
    const auto *best = &m_self;
    for (const auto &it : m_peers) {
        const bool candidate = fleet || it.dataCentre == m_dataCentre;
        if (candidate && weight(account, it.node) > weight(account, *best)) {
            best = &it.node;
        }
    }
    return *best;
}

bool AccountHome::fleetWide(const AccountRate &rate, std::uint32_t split)
{
    return rate.burst < TokensPerDataCentre * OneToken * split;
}

} // namespace Pimentohollow
