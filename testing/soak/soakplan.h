#pragma once

#include "core/clock.h"
#include "core/enumtable.h"

#include <cstdint>
#include <vector>

namespace Pimentohollow::Soak
{

enum class FaultKind : std::uint8_t {
    NodePaused,
    NodeKilled,
    NodeStopped, ///< asked to end, as planned work does
    NodeReloads, ///< the settings file changes
    StoreDown,
    StoreSlow,
    StoreLosesAnswers,
    StoreForgetsHistory,
    StoreReset,
    UpstreamRejects,
    UpstreamFails,
    UpstreamSilent,
    UpstreamReset, ///< its connections are reset
    UpstreamDelayed,
    UpstreamAnswersLost,
    UpstreamLeaves, ///< announces its end for good; another one takes its place
    NewRules,
    PeersReset, ///< the connections that other nodes made to a node
    PeersDelayed,
    PeersCut, ///< those connections stall in both directions
    PeersCutOneWay, ///< what the node says doesn't arrive
    UpstreamLeavesAfterKill, ///< the first that the node beside it hears after a kill is that it leaves
    UpstreamLeavesBeforeKill, ///< the node beside it is killed as soon as it has acknowledged that
};

inline constexpr auto FaultKindNames = makeEnumTable<FaultKind>({
    { FaultKind::NodePaused, "node_paused" },
    { FaultKind::NodeKilled, "node_killed" },
    { FaultKind::NodeStopped, "node_stopped" },
    { FaultKind::NodeReloads, "node_reloads" },
    { FaultKind::StoreDown, "store_down" },
    { FaultKind::StoreSlow, "store_slow" },
    { FaultKind::StoreLosesAnswers, "store_loses_answers" },
    { FaultKind::StoreForgetsHistory, "store_forgets_history" },
    { FaultKind::StoreReset, "store_reset" },
    { FaultKind::UpstreamRejects, "upstream_rejects" },
    { FaultKind::UpstreamFails, "upstream_fails" },
    { FaultKind::UpstreamSilent, "upstream_silent" },
    { FaultKind::UpstreamReset, "upstream_reset" },
    { FaultKind::UpstreamDelayed, "upstream_delayed" },
    { FaultKind::UpstreamAnswersLost, "upstream_answers_lost" },
    { FaultKind::UpstreamLeaves, "upstream_leaves" },
    { FaultKind::NewRules, "new_rules" },
    { FaultKind::PeersReset, "peers_reset" },
    { FaultKind::PeersDelayed, "peers_delayed" },
    { FaultKind::PeersCut, "peers_cut" },
    { FaultKind::PeersCutOneWay, "peers_cut_one_way" },
    { FaultKind::UpstreamLeavesAfterKill, "upstream_leaves_after_kill" },
    { FaultKind::UpstreamLeavesBeforeKill, "upstream_leaves_before_kill" },
});

struct PlannedFault {
    FaultKind kind = FaultKind::NodePaused;
    /** From the start of the traffic. */
    Duration at{};
    /** How long it lasts; nothing for those that happen once. */
    Duration length{};
    /** The node or upstream that it hits. */
    std::size_t target = 0;
};

/** The faults of a seed, by time: series and overlaps of all kinds. */
std::vector<PlannedFault> planFaults(std::uint64_t seed, Duration length, std::size_t nodes);

} // namespace Pimentohollow::Soak
