#pragma once

#include "mesh/model/upstreamdepartures.h"

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

/** What the node beside an upstream knows of it and must not lose in a restart. The other nodes keep it for that node. */
struct UpstreamNotice {
    /** Incarnation that has named a limit in its responses; empty if there is none. */
    std::string incarnation;
    /** Limit in thousandths of a request per second; 0 for none. A limit of zero requests is reported as 1. */
    std::uint32_t milliLimit = 0;
    UpstreamDepartures departures;
    /**
     * True if the departures come from a process of the node that knew all earlier ones, or from the store. A sender without such a source
     * may know some departures, but can't say that there are no others.
     */
    bool departuresComplete = false;

    bool operator==(const UpstreamNotice &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(incarnation, milliLimit, departures, departuresComplete);
    }
};

} // namespace Pimentohollow
