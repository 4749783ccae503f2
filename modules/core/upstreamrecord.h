#pragma once

#include "core/enumtable.h"
#include "core/names.h"

#include <cstdint>

namespace Pimentohollow
{

enum class UpstreamState : std::uint8_t {
    Starting, ///< announced, but still cold; takes little work
    Ready,
    Draining, ///< finishes what it has and takes no new work
    Gone, ///< lapsed or withdrawn
};

inline constexpr auto UpstreamStateNames = makeEnumTable<UpstreamState>({
    { UpstreamState::Starting, "starting" },
    { UpstreamState::Ready, "ready" },
    { UpstreamState::Draining, "draining" },
    { UpstreamState::Gone, "gone" },
});

/** What a node tells the others about the upstream beside it; spread by gossip and piggybacked on answers. */
struct UpstreamRecord {
    NodeName node;
    DataCentreName dataCentre;
    ServiceName service;
    UpstreamState state = UpstreamState::Starting;
    /** Increases each time the upstream process restarts. */
    std::uint64_t incarnation = 0;
    /** Increases with each change of the record by its node, so that an older copy never replaces a newer one. */
    std::uint64_t sequence = 0;
    std::uint32_t concurrencyLimit = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    /** Share of normal and of important requests that the serving node would admit now, in percent. */
    std::uint8_t normalAdmittedPercent = 100;
    std::uint8_t importantAdmittedPercent = 100;

    bool operator==(const UpstreamRecord &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(node,
                dataCentre,
                service,
                state,
                incarnation,
                sequence,
                concurrencyLimit,
                inFlight,
                queued,
                normalAdmittedPercent,
                importantAdmittedPercent);
    }
};

} // namespace Pimentohollow
