#pragma once

#include "core/clock.h"
#include "core/names.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Pimentohollow
{

/** A request that runs at an upstream and may make nested calls. */
struct RunningRequest {
    /** Ticket in the upstream's queue. */
    std::uint64_t ticket = 0;
    RouteName route;
    TimePoint expiry{};
    /** Time of its start, or of the end of its last nested call. */
    TimePoint activeAt{};
    /** Nested calls that haven't ended. */
    std::size_t openCalls = 0;
};

/** A call that an upstream makes. */
struct NestedCall {
    RouteName route;
    /** Time that the upstream grants the call. */
    Duration allowed{};
    TimePoint arrivedAt{};
};

/**
 * Finds the request for which an upstream makes a nested call. The call carries no mark of it: only its deadline, which is the earlier one
 * of its parent's and the limit that the upstream sets for calls of this kind.
 *
 * A call that is granted less than the longest time seen on its route has its parent's deadline, which identifies the parent. Such matches
 * teach which routes make which calls. A call that is granted its own limit can come from any request of these routes that expires later;
 * upstreams mostly make one call at a time, so the request that was active last without an open call is taken.
 *
 * Designed for services where dozens of requests run at once and only some of their routes make calls. Work that is counted for the wrong
 * route lets admission control refuse call trees that never reach the overloaded service. Not thread-safe.
 */
class CallParentFinder
{
public:
    /** Returns the index of the parent in @p running; nothing if none of them can be the parent. */
    std::optional<std::size_t> find(const NestedCall &call, const std::vector<RunningRequest> &running);
    /**
     * Returns the time to grant a request, so that the deadlines of its nested calls identify it: less than the upstream's limit for these
     * calls, and different from the deadlines of the other running requests. Returns @p remaining if that is short for the route.
     * @param remaining whole milliseconds until the deadline of the request
     * @param typicalTime mean run time of the route; zero if unknown
     */
    std::chrono::milliseconds allowedTime(const RouteName &route,
                                          std::chrono::milliseconds remaining,
                                          Duration typicalTime,
                                          const std::vector<RunningRequest> &running,
                                          TimePoint now);

private:
    struct CallRoute {
        Duration longestAllowed{};
        /** Calls whose deadline identified their parent, by the parent's route. */
        std::unordered_map<RouteName, double> parents;
        double identified = 0;

        bool isParent(const RouteName &route) const;
    };

    static std::optional<std::size_t> findByDeadline(const NestedCall &call, const std::vector<RunningRequest> &running, CallRoute &known);
    static std::optional<std::size_t>
    findByActivity(const NestedCall &call, const std::vector<RunningRequest> &running, const CallRoute &known);

    std::unordered_map<RouteName, CallRoute> m_callRoutes;
    std::uint64_t m_allowedTimes = 0;
};

} // namespace Pimentohollow
