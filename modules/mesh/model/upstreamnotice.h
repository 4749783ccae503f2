#pragma once

#include <cereal/types/string.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace Pimentohollow
{

/** What one response of an upstream says about the upstream itself. */
struct ResponseNotice {
    /** Requests per second that the upstream accepts from all nodes together; nothing if it names no limit. */
    std::optional<double> requestsPerSecond;
    /** True if the upstream is leaving and must receive no further requests. */
    bool leaving = false;
};

/** What is known of one incarnation of an upstream from its responses. Nodes that use an upstream keep it for the node beside the upstream.
 */
struct UpstreamNotice {
    /** Incarnation that the notice concerns; empty if there is nothing to report. */
    std::string incarnation;
    /** Limit in thousandths of a request per second; 0 for none. A limit of zero requests is reported as 1. */
    std::uint32_t milliLimit = 0;
    bool leaving = false;

    bool operator==(const UpstreamNotice &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(incarnation, milliLimit, leaving);
    }
};

} // namespace Pimentohollow
