#pragma once

#include "core/clock.h"
#include "core/ipendpoint.h"
#include "core/names.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Pimentohollow
{

/** State of the upstream beside a node, as the upstream announces it. */
struct UpstreamReport {
    /** Usually new with each start of the upstream. */
    std::string id;
    /** Wall-clock time of its start in ms, by its own clock; distinguishes two starts under the same id. */
    std::int64_t startedAt = 0;
    /** Increases with each announcement since a start. */
    std::uint64_t sequence = 0;
    ServiceName service;
    /** Address at which it accepts requests. */
    IpEndpoint address;
    /** Number of requests that it can run concurrently. */
    std::uint32_t slots = 0;
    bool draining = false;
    /** Remaining time for which it is slow after its start. */
    Duration coldTime{};
};

/** Message of an upstream that leaves, with or without a draining report before. */
struct Deregistration {
    std::string id;
    /** As in the process's reports; nothing if the message doesn't name it. */
    std::optional<std::int64_t> startedAt;
};

} // namespace Pimentohollow
