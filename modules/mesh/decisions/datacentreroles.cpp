#include "mesh/decisions/datacentreroles.h"

#include <algorithm>
#include <utility>

namespace Pimentohollow
{

namespace
{

/** Minimum number of nodes of the fleet that watch the store; enough that a network partition is unlikely to cut off all of them. */
constexpr std::size_t MinimumStoreWatchers = 6;
/** Minimum per data centre: the second node takes over if the first one fails. */
constexpr std::size_t MinimumWatchersPerDataCentre = 2;
/** While no node of a data centre reaches the store, one in this many of the nodes that aren't regular watchers tries in each turn. */
constexpr std::size_t ProbeTurns = 4;
constexpr std::chrono::seconds ProbeTurnLength(1);

template <typename Predicate>
std::size_t countBefore(const RoleCandidate &own, const std::vector<RoleCandidate> &localPeers, Predicate predicate)
{
    return static_cast<std::size_t>(std::count_if(localPeers.begin(), localPeers.end(), [&](const RoleCandidate &it) {
        return it.address < own.address && predicate(it);
    }));
}

} // namespace

std::size_t storeWatchers(std::size_t dataCentres)
{
    return std::max(MinimumWatchersPerDataCentre, (MinimumStoreWatchers + dataCentres - 1) / dataCentres);
}

std::size_t storeWatchersBefore(const RoleCandidate &own, const std::vector<RoleCandidate> &localPeers)
{
    return countBefore(own, localPeers, [](const RoleCandidate &it) {
        return it.reachesStore;
    });
}

bool watchesStore(const RoleCandidate &own, const std::vector<RoleCandidate> &localPeers, std::size_t watchers, TimePoint now)
{
    if (storeWatchersBefore(own, localPeers) >= watchers) {
        return false;
    }
    const std::size_t before = countBefore(own, localPeers, [](const RoleCandidate &) {
        return true;
    });
    const auto turn = static_cast<std::size_t>(now.time_since_epoch() / ProbeTurnLength);
    return own.reachesStore || before < watchers || (before + turn) % ProbeTurns == 0;
}

bool isRelay(const RoleCandidate &own, const std::vector<RoleCandidate> &localPeers)
{
    const auto rank = [](const RoleCandidate &it) {
        return std::pair(!it.hasWarmedUp, it.address);
    };
    return std::none_of(localPeers.begin(), localPeers.end(), [&](const RoleCandidate &it) {
        return rank(it) < rank(own);
    });
}

} // namespace Pimentohollow
