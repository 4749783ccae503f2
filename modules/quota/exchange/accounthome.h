#pragma once

#include "core/clock.h"
#include "core/names.h"
#include "quota/bucket/quotaledger.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Pimentohollow
{

/** Another node that may hold tokens. */
struct QuotaPeer {
    NodeName node;
    DataCentreName dataCentre;
    /** Shares that the node holds, from its member record. */
    std::uint8_t shares = 0;

    bool operator==(const QuotaPeer &) const = default;
};

/**
 * Chooses for accounts with a small burst the node at which their tokens are gathered.
 *
 * When the burst is less than two tokens per holder of shares, single buckets rarely hold a whole token. Every node
 * then asks the home, and the home collects the fractions. The choice is a rendezvous hash, per data centre if its part
 * of the burst is eight tokens or more, else over the fleet. Nodes with different views may choose different homes for a
 * while: fewer requests are admitted then, never more.
 */
class AccountHome
{
public:
    AccountHome(NodeName self, DataCentreName dataCentre);

    void setPeers(const std::vector<QuotaPeer> &peers, std::size_t ownShares);

    /** The home of an account, or nothing if its tokens aren't gathered. */
    std::optional<NodeName> of(const AccountName &account, const AccountRate &rate, std::uint32_t split) const;

    /** Whether one home serves the whole fleet. */
    static bool fleetWide(const AccountRate &rate, std::uint32_t split);

private:
    NodeName m_self;
    DataCentreName m_dataCentre;
    std::vector<QuotaPeer> m_peers;
    std::size_t m_holders = 1;
};

} // namespace Pimentohollow
