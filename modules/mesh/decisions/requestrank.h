#pragma once

#include "mesh/model/trafficrules.h"

#include <cstdint>

namespace Pimentohollow
{

/** Ranks into which each rank of a route is divided by the ranks of accounts. */
inline constexpr std::uint32_t AccountRanks = 2;

/**
 * Rank of a request by its route and its account; 0 is the most urgent. Important routes are shed last whoever asks, and among
 * requests of equally important routes those of less urgent accounts are shed first.
 * @param account nullptr for a public route
 */
std::uint32_t requestRank(const TrafficRoute &route, const TrafficAccount *account);

} // namespace Pimentohollow
