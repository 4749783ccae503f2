#include "mesh/decisions/upstreamchooser.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>

namespace Pimentohollow
{

namespace
{

/** Fraction of a request's value that a late answer loses. */
constexpr double LateAnswerLoss = 0.6;
/** Standard deviation of the logarithm of run times. */
constexpr double RunTimeLogDeviation = 0.6;
/** Cost of a byte between data centres, as a fraction of a request's value; from the prices that the users state. */
constexpr double CrossDataCentreByteCost = 3e-5;
/** Fixed cost of leaving the data centre: one more link that can fail. */
constexpr double CrossDataCentreCost = 0.02;
/** Occupancy above which each further request delays others. */
constexpr double CongestionOccupancy = 0.95;
constexpr double CongestionSlope = 0.6;
/** Balances the load while no upstream is near its limit. */
constexpr double OccupancyWeight = 0.02;
/** Smaller differences in quality are treated as noise. */
constexpr double QualityNoise = 0.05;
/** One idempotent request in this many goes to a random upstream, even if its responses are bad. */
constexpr std::uint64_t ProbeInterval = 50;
constexpr double TieBreakSpread = 0.002;

/** Values of the usable candidates with which each one is compared. */
struct Baseline {
    double bestQuality = 0;
    /** Harmonic mean of the run time, weighted by slots; 0 if unknown. */
    double runSeconds = 0;
};

Baseline baselineOf(const std::vector<UpstreamCandidate> &candidates, const std::vector<std::size_t> &usable)
{
    Baseline result;
    double slots = 0;
    for (const auto n : usable) {
        const auto &it = candidates[n];
        result.bestQuality = std::max(result.bestQuality, it.quality);
        if (it.runSeconds > 0) {
            // The harmonic mean prevents a slow upstream from making the others look fast.
            result.runSeconds += it.slots / it.runSeconds;
            slots += it.slots;
        }
    }
    result.runSeconds = slots > 0 ? slots / result.runSeconds : 0;
    return result;
}

/** Returns the probability that an answer with the mean time @p seconds takes longer than the objective. */
double lateProbability(double seconds, double objectiveSeconds)
{
    if (seconds <= 0 || objectiveSeconds <= 0) {
        return 0;
    }
    const double median = seconds * std::exp(-RunTimeLogDeviation * RunTimeLogDeviation / 2);
    return std::erfc(std::log(objectiveSeconds / median) / RunTimeLogDeviation / std::numbers::sqrt2) / 2;
}

double expectedLoss(const UpstreamCandidate &candidate, const PlacementRequest &request, const Baseline &baseline)
{
    const double speed = candidate.runSeconds > 0 && baseline.runSeconds > 0 ? candidate.runSeconds / baseline.runSeconds : 1;
    const double occupancy = static_cast<double>(candidate.load + 1) / candidate.slots;
    const double wait = std::max(0.0, occupancy - 1) * candidate.runSeconds;
    double loss = LateAnswerLoss * lateProbability(request.typicalSeconds * speed + wait, request.objectiveSeconds);
    loss += occupancy * OccupancyWeight + std::max(0.0, occupancy - CongestionOccupancy) * CongestionSlope;
    loss += std::max(0.0, baseline.bestQuality - candidate.quality - QualityNoise);
    if (!candidate.sameDataCentre) {
        loss += CrossDataCentreCost + request.typicalBytes * CrossDataCentreByteCost;
    }
    return loss;
}

} // namespace

UpstreamChooser::UpstreamChooser(Random &random)
    : m_random(random)
{
}

std::optional<std::size_t> UpstreamChooser::choose(const std::vector<UpstreamCandidate> &candidates, const PlacementRequest &request)
{
    std::vector<std::size_t> usable;
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        const auto &it = candidates[n];
        if (it.reachable && it.accepting && !it.tried && it.slots > 0) {
            usable.push_back(n);
        }
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    const Baseline baseline = baselineOf(candidates, usable);
    if (request.idempotent && m_random.below(ProbeInterval) == 0) {
        const std::size_t probed = usable[m_random.below(usable.size())];
        if (candidates[probed].quality < baseline.bestQuality - QualityNoise) {
            return probed;
        }
    }
    double lowest = std::numeric_limits<double>::max();
    std::size_t chosen = usable.front();
    for (const auto n : usable) {
        const double loss = expectedLoss(candidates[n], request, baseline) + m_random.unit() * TieBreakSpread;
        if (loss < lowest) {
            lowest = loss;
            chosen = n;
        }
    }
    return chosen;
}

} // namespace Pimentohollow
