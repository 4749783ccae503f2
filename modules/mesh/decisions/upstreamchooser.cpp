#include "mesh/decisions/upstreamchooser.h"

#include <algorithm>
#include <limits>

namespace Pimentohollow
{

namespace
{

/** Occupancy from which a request is expected to be delayed. */
constexpr double FreeOccupancy = 0.75;
/** Cost of each full set of slots, as delay in units of a mean run. */
constexpr double OccupancySlope = 4;
/** Charge for leaving the data centre, in the same unit: a full set of slots of difference. */
constexpr double CrossDataCentreCost = 1;
/** Charge for an upstream all of whose requests fail. */
constexpr double FailureCost = 8;
/** Differences in quality below this are noise. */
constexpr double QualityNoise = 0.08;
/** Upstreams of a service differ in speed by up to this factor without anything being wrong. */
constexpr double UsualSpread = 2.6;
constexpr double SlownessSlope = 0.7;
/** One request in this many goes to a random upstream in spite of its bad answers. */
constexpr std::uint64_t ProbeInterval = 50;

} // namespace

UpstreamChooser::UpstreamChooser(Random &random)
    : m_random(random)
{
}

std::optional<std::size_t> UpstreamChooser::choose(const std::vector<UpstreamCandidate> &candidates, bool idempotent)
{
    double bestQuality = 0;
    double shortestRun = std::numeric_limits<double>::max();
    std::vector<std::size_t> usable;
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        const auto &it = candidates[n];
        if (it.reachable && it.accepting && !it.tried && it.slots > 0) {
            usable.push_back(n);
            bestQuality = std::max(bestQuality, it.quality);
            shortestRun = it.runSeconds > 0 ? std::min(shortestRun, it.runSeconds) : shortestRun;
        }
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    if (idempotent && m_random.below(ProbeInterval) == 0) {
        const std::size_t probed = usable[m_random.below(usable.size())];
        // A probe serves only to see a recovery; it doesn't leave the data centre for nothing.
        if (candidates[probed].quality < bestQuality - QualityNoise) {
            return probed;
        }
    }
    double lowest = std::numeric_limits<double>::max();
    std::size_t chosen = usable.front();
    for (const auto n : usable) {
        constexpr double TieBreak = 0.02;
        const double value = cost(candidates[n], bestQuality, shortestRun) + m_random.unit() * TieBreak;
        if (value < lowest) {
            lowest = value;
            chosen = n;
        }
    }
    return chosen;
}

double UpstreamChooser::cost(const UpstreamCandidate &candidate, double bestQuality, double shortestRun) const
{
    const double occupancy = static_cast<double>(candidate.load + 1) / candidate.slots;
    double value = std::max(0.0, occupancy - FreeOccupancy) * OccupancySlope;
    // Spreads the load of a data centre that has several upstreams while none of them is full.
    constexpr double SpreadWeight = 0.5;
    value += occupancy * SpreadWeight;
    if (!candidate.sameDataCentre) {
        value += CrossDataCentreCost;
    }
    const double worse = bestQuality - candidate.quality;
    if (worse > QualityNoise) {
        value += worse * FailureCost;
    }
    const double slowness = candidate.runSeconds / shortestRun;
    if (slowness > UsualSpread) {
        value += (slowness - UsualSpread) * SlownessSlope;
    }
    return value;
}

} // namespace Pimentohollow
