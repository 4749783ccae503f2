#pragma once

#include "core/clock.h"
#include "core/names.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Pimentohollow
{

/** Rate and burst of a client account over the whole fleet. */
struct AccountLimit {
    double ratePerSecond = 0;
    double burst = 0;
};

/** Demand for one account, in requests per second. */
struct MeasuredDemand {
    AccountName account;
    double rate = 0;
};

/**
 * This node's part of each client account's rate and burst: the account's limit times this node's share of the demand that all nodes
 * report.
 *
 * The load it answers: one account sends several times its rate to all nodes at once. The parts add up to the limit whatever the demand
 * does; a node that can't be heard keeps its part for a while, so that a partition doesn't grant it twice. Not thread-safe, no clock.
 */
class AccountAllowance
{
public:
    /** @param nodes known to the directory, this one included */
    void setNodes(std::size_t nodes);
    /** Takes what another node reported. */
    void reported(const NodeName &node, const std::vector<MeasuredDemand> &demand, TimePoint now);

    /** Counts the request and decides on it: nothing if it is admitted, or when to come back. */
    std::optional<Duration> admit(const AccountName &account, const AccountLimit &limit, TimePoint now);
    /** The demand at this node, for the other nodes; accounts without any are left out. */
    std::vector<MeasuredDemand> demand(TimePoint now);

    /** This node's share of @p account, 0 to 1. */
    double share(const AccountName &account, TimePoint now);

private:
    struct Local {
        /** Requests per second, a moving average. */
        double demand = 0;
        TimePoint measuredAt{};
        double tokens = 0;
        TimePoint filledAt{};
        bool started = false;
    };
    struct Peer {
        TimePoint heardAt{};
        std::unordered_map<AccountName, double> demand;
    };

    void measure(Local &local, double count, TimePoint now);

    std::size_t m_nodes = 1;
    std::unordered_map<AccountName, Local> m_local;
    std::unordered_map<NodeName, Peer> m_peers;
};

} // namespace Pimentohollow
