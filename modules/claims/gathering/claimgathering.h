#pragma once

#include "core/names.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace Pimentohollow
{

/**
 * From this number of nodes in the fleet on, claims are gathered per data centre: 30 nodes at 10 commits per second
 * are 300 writes per second, the most that is planned for claims out of the platform's several hundred.
 */
inline constexpr std::size_t GatheringFleetSize = 30;

/**
 * The member that commits the claims of a data centre, or nothing if each node commits its own.
 *
 * Nodes may disagree for a while; safety rests on the conditional put alone, a disagreement only costs commits.
 * @param fleetSize known nodes of all data centres
 * @param members alive nodes of the data centre, including the own one
 */
std::optional<NodeName> claimGatherer(const DataCentreName &dataCentre, std::size_t fleetSize, const std::vector<NodeName> &members);

} // namespace Pimentohollow
