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

} // namespace

std::vector<PlannedFault> planFaults(std::uint64_t seed, Duration length, std::size_t nodes)
{
    Random random(seed);
    std::vector<PlannedFault> result;
    Duration at = 500ms;
    while (at < length - CalmEnd) {
        PlannedFault fault;
        fault.kind = FaultKindNames.entries().at(random.below(FaultKindNames.entries().size())).value;
        fault.at = at;
        const auto span = std::chrono::duration_cast<Duration>((LongestFault - ShortestFault) * random.unit());
        fault.length = std::min<Duration>(ShortestFault + span, length - CalmEnd / 2 - at);
        fault.target = random.below(nodes);
        result.push_back(fault);
        at += std::chrono::duration_cast<Duration>(MeanGap * 2 * random.unit());
    }
    return result;
}

} // namespace Pimentohollow::Soak
