#pragma once

#include "core/clock.h"
#include "core/names.h"

#include <cstdint>
#include <string>

namespace Pimentohollow
{

/** What the upstream beside a node says of itself. */
struct UpstreamReport {
    /** Mostly new with each start of the upstream. */
    std::string id;
    /** Wall-clock time of its start in ms, by its own clock; tells two starts under the same id apart. */
    std::int64_t startedAt = 0;
    /** Grows with each announcement of one start. */
    std::uint64_t sequence = 0;
    ServiceName service;
    /** Requests that it runs at the same time. */
    std::uint32_t slots = 0;
    bool draining = false;
    /** How much longer it stays slow after its start. */
    Duration coldTime{};
};

} // namespace Pimentohollow
