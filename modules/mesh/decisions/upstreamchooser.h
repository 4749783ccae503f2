#pragma once

#include "core/random.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Pimentohollow
{

/** State of one upstream, as known to this node when it places a request. */
struct UpstreamCandidate {
    bool sameDataCentre = false;
    /** True if its node is reachable. */
    bool reachable = false;
    /** True if it accepts new requests, by its node's last report. */
    bool accepting = false;
    /** True if this request was already sent there or refused there. */
    bool tried = false;
    std::uint32_t slots = 0;
    /** Requests running and waiting there by the last report, plus those that this node has sent since. */
    std::uint32_t load = 0;
    /** Requests of this node that are still unanswered. */
    std::uint32_t pending = 0;
    /** Mean run time over all its requests, in seconds; 0 if unknown. */
    double runSeconds = 0;
    /** Quality of its responses, 0 to 1. */
    double quality = 1;
};

/** Properties of a request that affect its placement. */
struct PlacementRequest {
    /** True if the request may run twice; it may then probe an upstream whose responses are bad. */
    bool idempotent = false;
    /** Typical time to an answer, in seconds; 0 if unknown. */
    double typicalSeconds = 0;
    /** Time in seconds within which the answer has its full value; 0 for none. */
    double objectiveSeconds = 0;
    /** Typical size of request and answer together. */
    double typicalBytes = 0;
};

/**
 * Selects the upstream of a request by the lowest expected loss of value: from an answer that is late or fails, from bytes sent between
 * data centres, and from the delay that the request causes to others once slots are scarce.
 *
 * Designed for data centres with about equal traffic and expensive traffic between them, with upstreams that differ in speed, become slow,
 * fail part of their requests or start cold. Requests with large answers stay in their data centre; small urgent requests go to a faster
 * upstream elsewhere. An upstream with bad responses still receives a small share of the idempotent requests, so that its recovery is
 * noticed.
 */
class UpstreamChooser
{
public:
    explicit UpstreamChooser(Random &random);

    /** Returns the index of the selected candidate; nothing if no candidate is usable. */
    std::optional<std::size_t> choose(const std::vector<UpstreamCandidate> &candidates, const PlacementRequest &request);

private:
    Random &m_random;
};

} // namespace Pimentohollow
