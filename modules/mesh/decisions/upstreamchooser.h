#pragma once

#include "core/random.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Pimentohollow
{

/** What is known of one upstream when a request has to be placed. */
struct UpstreamCandidate {
    bool sameDataCentre = false;
    /** Its node answers. */
    bool reachable = false;
    /** It takes new requests, by its node's last report. */
    bool accepting = false;
    /** This request was already sent there, or refused there. */
    bool tried = false;
    std::uint32_t slots = 0;
    /** Running and waiting there, by the last report, and sent by this node since. */
    std::uint32_t load = 0;
    /** Requests of this node that were not answered yet. */
    std::uint32_t pending = 0;
    /** Mean run time there; 0 if unknown. */
    double runSeconds = 0;
    /** How well requests end there, 0 to 1. */
    double quality = 1;
};

/**
 * Chooses the upstream of a request by its marginal delay, with a charge for leaving the data centre.
 *
 * The load it answers: four data centres whose traffic is about even, where bytes between them are dear, and an upstream that turns slow,
 * fails part of its requests or starts cold. The own data centre is left gradually: as its upstreams fill up, or as their answers get bad.
 * One with bad answers still gets a small share of the requests that may run twice, so that its recovery is seen.
 */
class UpstreamChooser
{
public:
    explicit UpstreamChooser(Random &random);

    /** The index of the chosen candidate; nothing if none can be tried. @param idempotent the request may also probe a bad upstream */
    std::optional<std::size_t> choose(const std::vector<UpstreamCandidate> &candidates, bool idempotent);

private:
    double cost(const UpstreamCandidate &candidate, double bestQuality, double shortestRun) const;

    Random &m_random;
};

} // namespace Pimentohollow
