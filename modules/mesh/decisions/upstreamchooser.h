#pragma once

#include "core/random.h"

#include <cstddef>
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
    /** Mean run time there over all requests; 0 if unknown. */
    double runSeconds = 0;
    /** How well requests end there, 0 to 1. */
    double quality = 1;
};

/** What matters of a request when it is placed. */
struct PlacementRequest {
    /** May run twice, and so may probe an upstream with bad answers. */
    bool idempotent = false;
    /** Usual time to an answer; 0 if unknown. */
    double typicalSeconds = 0;
    /** Time within which the answer has its full value; 0 for none. */
    double objectiveSeconds = 0;
    /** Usual size of request and answer. */
    double typicalBytes = 0;
};

/**
 * Chooses the upstream of a request by the value that is likely to be lost there: by an answer that is late or fails, by bytes between data
 * centres, and by the delay that it causes to others once slots get short.
 *
 * The load it answers: data centres whose traffic is about even, where bytes between them are dear, with upstreams that differ in speed,
 * turn slow, fail part of their requests or start cold. Large answers stay in their data centre; small urgent requests go to a faster
 * upstream elsewhere. An upstream with bad answers still gets a small share of the requests that may run twice, so that its recovery is
 * seen.
 */
class UpstreamChooser
{
public:
    explicit UpstreamChooser(Random &random);

    /** The index of the chosen candidate; nothing if none can be tried. */
    std::optional<std::size_t> choose(const std::vector<UpstreamCandidate> &candidates, const PlacementRequest &request);

private:
    Random &m_random;
};

} // namespace Pimentohollow
