#pragma once

#include "mesh/model/trafficrules.h"

#include <cstdint>

namespace Pimentohollow
{

/** Number of ranks into which the ranks of accounts divide each rank of a route. */
inline constexpr std::uint32_t AccountRanks = 2;

/**
 * Returns the rank of a request by its route and its account; 0 is the most urgent. Requests of important routes are shed last for all
 * accounts. Among requests of equally important routes, those of less urgent accounts are shed first.
 * @param account nullptr for a public route
 */
std::uint32_t requestRank(const TrafficRoute &route, const TrafficAccount *account);

} // namespace Pimentohollow
