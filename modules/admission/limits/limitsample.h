#pragma once

#include "core/clock.h"

#include <cstdint>

namespace Pimentohollow
{

/** How a request ended at the upstream, as far as the concurrency limit is concerned. */
enum class WorkResult {
    Completed, ///< a whole answer
    Shed, ///< the upstream refused because of load
    Failed, ///< an error that says nothing about load; its time is not a measurement
    TimedOut, ///< cancelled before it completed; its time is a lower bound
};

/** One measurement for a concurrency limit. */
struct LimitSample {
    WorkResult result = WorkResult::Completed;
    TimePoint startedAt{};
    /** Time in the upstream without the time of its child calls, so that a slow deeper service doesn't count as load here. */
    Duration ownTime{};
    /** Requests in flight when this one started, itself included. */
    std::uint32_t inFlight = 0;
    /** Requests in flight when this one ended, itself included. */
    std::uint32_t inFlightAtEnd = 0;
};

} // namespace Pimentohollow
