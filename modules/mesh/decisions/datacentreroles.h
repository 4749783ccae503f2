#pragma once

#include "core/clock.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Pimentohollow
{

/** State of a node that determines its roles in its data centre. */
struct RoleCandidate {
    /** Address of the node in the directory, as text; nodes are ordered by it. */
    std::string address;
    /** True if the store answers the node. */
    bool reachesStore = false;
    /** True if the node has received reports for long enough to know the usage of the accounts. */
    bool hasWarmedUp = false;
};

/** Returns how many nodes of each data centre watch the store for the others, in a fleet of @p dataCentres data centres. */
std::size_t storeWatchers(std::size_t dataCentres);

/**
 * Returns the number of nodes ordered before @p own that reach the store.
 * @param localPeers the other reachable nodes of the data centre
 */
std::size_t storeWatchersBefore(const RoleCandidate &own, const std::vector<RoleCandidate> &localPeers);

/**
 * True if @p own is to watch the store for the others. While no node is known to reach it, the regular watchers always try, and each second
 * a part of the others does: one of them may be served although the store rejects the regular watchers.
 * @param watchers nodes of the data centre that are to watch the store
 */
bool watchesStore(const RoleCandidate &own, const std::vector<RoleCandidate> &localPeers, std::size_t watchers, TimePoint now);

/**
 * True if @p own sends the digests of its data centre: the first by address among the warmed-up nodes, or among all if none has warmed up.
 */
bool isRelay(const RoleCandidate &own, const std::vector<RoleCandidate> &localPeers);

} // namespace Pimentohollow
