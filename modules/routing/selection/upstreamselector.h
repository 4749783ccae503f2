#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "routing/table/upstreamtable.h"

#include <optional>
#include <vector>

namespace Pimentohollow
{

/** The upstream that gets a call. */
struct Selection {
    NodeName node;
    bool local = false;
};

/**
 * Chooses an upstream by two random choices: of two, the one with the lower load by this node's own calls.
 *
 * Order: local ones with room, others with room, slow ones that were ejected for it, local ones that are full, others that are
 * full, and as a last resort all ejected ones: a wrong ejection must not refuse work that could run. An upstream is passed over as full
 * with the probability with which it refused this node's recent calls, so that nodes don't move away all at once. Draining
 * upstreams and those already tried are never chosen.
 */
class UpstreamSelector
{
public:
    UpstreamSelector(const UpstreamTable &table, const Clock &clock, Random &random);

    /** @param tried the nodes that earlier attempts of this call went to; nothing is returned if no other one is left */
    std::optional<Selection> choose(const ServiceName &service, const std::vector<NodeName> &tried);

private:
    enum class Need {
        Room, ///< reachable, not ejected, not full
        Overflow, ///< reachable, ejected for slowness, and not full
        Health, ///< reachable, not ejected
        Any,
    };

    bool isUsable(const Upstream &upstream, const std::vector<NodeName> &tried, Need need);
    const Upstream *chooseOf(const std::vector<Upstream *> &list, const std::vector<NodeName> &tried, Need need);
    const Upstream *scan(const std::vector<Upstream *> &list, const std::vector<NodeName> &tried, Need need);
    const Upstream *lessLoaded(const Upstream *a, const Upstream *b);

    const UpstreamTable &m_table;
    const Clock &m_clock;
    Random &m_random;
    TimePoint m_now{};
};

} // namespace Pimentohollow
