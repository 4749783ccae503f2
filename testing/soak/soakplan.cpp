#include "soakplan.h"

#include "core/random.h"

#include <algorithm>

namespace Pimentohollow::Soak
{

namespace
{

using namespace std::chrono_literals;

/** Mean distance of faults; each lasts longer than that, so that they overlap. */
constexpr Duration MeanGap = 400ms;
constexpr Duration ShortestFault = 200ms;
constexpr Duration LongestFault = 2500ms;
/** The last part of a run has no new faults, so that the fleet must serve again at the end. */
constexpr Duration CalmEnd = 1500ms;

/**
 * Faults of the links between nodes, and departures in a restart, are series of their own, so that older seeds still play what they played.
 */
constexpr auto FirstPeerFault = static_cast<std::size_t>(FaultKind::PeersReset);
constexpr auto FirstDeparture = static_cast<std::size_t>(FaultKind::UpstreamLeavesAfterKill);
/** Mixed into the seeds of these series, which would otherwise draw the same numbers as the first one. */
constexpr std::uint64_t PeerSeries = 0x9e3779b97f4a7c15;
constexpr std::uint64_t DepartureSeries = 0xbf58476d1ce4e5b9;
constexpr Duration MeanPeerGap = 1200ms;
constexpr Duration MeanDepartureGap = 2000ms;

/** @param first first kind that the series takes, in the order of FaultKindNames @param last the one after its last */
void addSeries(std::vector<PlannedFault> &plan,
               Random &random,
               Duration meanGap,
               std::size_t first,
               std::size_t last,
               Duration length,
               std::size_t nodes)
{
    Duration at = 500ms;
    while (at < length - CalmEnd) {
        PlannedFault fault;
        fault.kind = FaultKindNames.entries().at(first + random.below(last - first)).value;
        fault.at = at;
        const auto span = std::chrono::duration_cast<Duration>((LongestFault - ShortestFault) * random.unit());
        fault.length = std::min<Duration>(ShortestFault + span, length - CalmEnd / 2 - at);
        fault.target = random.below(nodes);
        plan.push_back(fault);
        at += std::chrono::duration_cast<Duration>(meanGap * 2 * random.unit());
    }
}

} // namespace

std::vector<PlannedFault> planFaults(std::uint64_t seed, Duration length, std::size_t nodes)
{
    std::vector<PlannedFault> result;
    Random random(seed);
    addSeries(result, random, MeanGap, 0, FirstPeerFault, length, nodes);
    Random peers(seed ^ PeerSeries);
    addSeries(result, peers, MeanPeerGap, FirstPeerFault, FirstDeparture, length, nodes);
    Random departures(seed ^ DepartureSeries);
    addSeries(result, departures, MeanDepartureGap, FirstDeparture, FaultKindNames.entries().size(), length, nodes);
    std::stable_sort(result.begin(), result.end(), [](const auto &left, const auto &right) {
        return left.at < right.at;
    });
    return result;
}

} // namespace Pimentohollow::Soak
