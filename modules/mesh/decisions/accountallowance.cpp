#include "mesh/decisions/accountallowance.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace Pimentohollow
{

namespace
{

/** Time constant of the measured demand. */
constexpr double DemandSeconds = 1.5;
/** How long a silent node keeps its part; longer than the partitions that the users' platform announces. */
constexpr std::chrono::seconds PeerMemory(15);
/** Demand that every node is assumed to have, as a share of the limit divided by the nodes, so that a first request finds a token. */
constexpr double BaseDemandShare = 0.1;
/** Tokens of a node that has just started, in seconds of its part: it doesn't know what its predecessor spent. */
constexpr double StartSeconds = 0.5;
/** Every node may hold one whole token, whatever its part. */
constexpr double LeastCapacity = 1;
constexpr double LeastReportedDemand = 0.05;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void AccountAllowance::setNodes(std::size_t nodes)
{
    m_nodes = std::max<std::size_t>(1, nodes);
}

void AccountAllowance::reported(const NodeName &node, const std::vector<MeasuredDemand> &demand, TimePoint now)
{
    auto &peer = m_peers[node];
    peer.heardAt = now;
    peer.demand.clear();
    for (const auto &it : demand) {
        peer.demand[it.account] = it.rate;
    }
}

std::optional<Duration> AccountAllowance::admit(const AccountName &account, const AccountLimit &limit, TimePoint now)
{
    auto &local = m_local[account];
    measure(local, 1, now);
    if (limit.ratePerSecond <= 0) {
        return std::nullopt;
    }
    const double part = share(account, now);
    const double rate = limit.ratePerSecond * part;
    const double capacity = std::max(limit.burst * part, LeastCapacity);
    if (!local.started) {
        local.started = true;
        local.tokens = std::max(rate * StartSeconds, LeastCapacity);
    } else {
        local.tokens += rate * seconds(now - local.filledAt);
    }
    local.tokens = std::min(local.tokens, capacity);
    local.filledAt = now;
    if (local.tokens >= 1) {
        local.tokens -= 1;
        return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>((1 - local.tokens) / std::max(rate, 0.001)));
}

std::vector<MeasuredDemand> AccountAllowance::demand(TimePoint now)
{
    std::vector<MeasuredDemand> result;
    for (auto &[account, local] : m_local) {
        measure(local, 0, now);
        if (local.demand >= LeastReportedDemand) {
            result.push_back({ account, local.demand });
        }
    }
    return result;
}

double AccountAllowance::share(const AccountName &account, TimePoint now)
{
    auto &local = m_local[account];
    measure(local, 0, now);
    double others = 0;
    std::size_t heard = 0;
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        if (now - it->second.heardAt > PeerMemory) {
            it = m_peers.erase(it);
            continue;
        }
        const auto found = it->second.demand.find(account);
        others += found == it->second.demand.end() ? 0 : found->second;
        ++heard;
        ++it;
    }
    const std::size_t nodes = std::max(m_nodes, heard + 1);
    // Nodes that weren't heard yet are assumed to have the demand that this one has.
    others += local.demand * static_cast<double>(nodes - 1 - heard);
    const double total = local.demand + others;
    const double base = std::max(total, 1.0) * BaseDemandShare / static_cast<double>(nodes);
    return (local.demand + base) / (total + base * static_cast<double>(nodes));
}

void AccountAllowance::measure(Local &local, double count, TimePoint now)
{
    const double elapsed = seconds(now - local.measuredAt);
    local.demand = local.demand * std::exp(-elapsed / DemandSeconds) + count / DemandSeconds;
    local.measuredAt = now;
}

} // namespace Pimentohollow
