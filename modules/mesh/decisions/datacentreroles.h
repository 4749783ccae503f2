#pragma once

#include "core/clock.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Pimentohollow
{

/** A node of the data centre, as far as it matters for who does what for the others. */
struct RoleCandidate {
    /** Text of the address under which the directory holds the node; its order decides between equals. */
    std::string address;
    /** The store answers the node. */
    bool reachesStore = false;
    /** The node has heard the others for long enough to know what was spent. */
    bool hasWarmedUp = false;
};

/** Nodes of a data centre that follow the store for the others, in a fleet of so many data centres. */
std::size_t storeWatchers(std::size_t dataCentres);

/** The nodes before @p own that follow the store already. @param localPeers the other nodes of the data centre that are heard */
std::size_t storeWatchersBefore(const RoleCandidate &own, const std::vector<RoleCandidate> &localPeers);

/**
 * True if @p own is to follow the store for the others. While no node is known to reach it, the usual watchers try all the time, and a
 * part of the others each second: one of them may be served although the store turns the usual ones away.
 */
bool watchesStore(const RoleCandidate &own, const std::vector<RoleCandidate> &localPeers, std::size_t watchers, TimePoint now);

/** True if @p own sends the digests of its data centre: the first by address, of those that are settled if there are any. */
bool isRelay(const RoleCandidate &own, const std::vector<RoleCandidate> &localPeers);

} // namespace Pimentohollow
