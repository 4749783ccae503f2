#include "mesh/decisions/datacentreduties.h"

#include <algorithm>
#include <utility>

namespace Pimentohollow
{

namespace
{

/** Nodes of the fleet that follow the store for the others, at least; so many that a cut hardly takes all of them. */
constexpr std::size_t LeastStoreFollowers = 6;
/** Those of one data centre, at least: the second one is there if the first fails. */
constexpr std::size_t LeastFollowersPerDataCentre = 2;
/** While no node of a data centre reaches the store, one in so many of those that don't follow it usually tries in each turn. */
constexpr std::size_t TryTurns = 4;
constexpr std::chrono::seconds TryTurn(1);

template <typename Counts>
std::size_t countBefore(const DutyCandidate &own, const std::vector<DutyCandidate> &neighbours, Counts counts)
{
    return static_cast<std::size_t>(std::count_if(neighbours.begin(), neighbours.end(), [&](const DutyCandidate &it) {
        return it.address < own.address && counts(it);
    }));
}

} // namespace

std::size_t storeFollowers(std::size_t dataCentres)
{
    return std::max(LeastFollowersPerDataCentre, (LeastStoreFollowers + dataCentres - 1) / dataCentres);
}

std::size_t storeFollowersBefore(const DutyCandidate &own, const std::vector<DutyCandidate> &neighbours)
{
    return countBefore(own, neighbours, [](const DutyCandidate &it) {
        return it.reachesStore;
    });
}

bool followsStore(const DutyCandidate &own, const std::vector<DutyCandidate> &neighbours, std::size_t followers, TimePoint now)
{
    if (storeFollowersBefore(own, neighbours) >= followers) {
        return false;
    }
    const std::size_t before = countBefore(own, neighbours, [](const DutyCandidate &) {
        return true;
    });
    const auto turn = static_cast<std::size_t>(now.time_since_epoch() / TryTurn);
    return own.reachesStore || before < followers || (before + turn) % TryTurns == 0;
}

bool isRelay(const DutyCandidate &own, const std::vector<DutyCandidate> &neighbours)
{
    const auto rank = [](const DutyCandidate &it) {
        return std::pair(!it.settled, it.address);
    };
    return std::none_of(neighbours.begin(), neighbours.end(), [&](const DutyCandidate &it) {
        return rank(it) < rank(own);
    });
}

} // namespace Pimentohollow
