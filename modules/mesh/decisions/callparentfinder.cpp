#include "mesh/decisions/callparentfinder.h"

#include <algorithm>

namespace Pimentohollow
{

namespace
{

/** The upstream rounds the time of a call down to whole milliseconds, and both ways take a few hundred microseconds. */
constexpr std::chrono::microseconds ExpectedDeadlineLoss(1000);
/** A deadline that differs by more from the expected one belongs to another request; a busy node reads a call some milliseconds late. */
constexpr std::chrono::milliseconds DeadlineTolerance(8);
/** A call that is granted this much less than the limit of its route has the deadline of its parent. */
constexpr std::chrono::milliseconds LimitTolerance(2);
/** Distance between the deadlines of requests that make calls. */
constexpr std::chrono::milliseconds DeadlineSpacing(4);
/** A request is granted at most this fraction less in order to distinguish its deadline. */
constexpr double MaximumReduction = 0.12;
/** Multiple of the mean run time that a request is granted at least. */
constexpr int MinimumRunTimes = 2;
/** One request in this many is granted all of its time, so that a longer limit of the calls is noticed. */
constexpr std::uint64_t UnlimitedInterval = 16;
/** Routes with a smaller share of a route's identified calls are coincidences. */
constexpr double MinimumParentShare = 0.05;
/** Identified calls from which the shares are known. */
constexpr double MinimumIdentified = 20;
/** At this number the counts are halved, so that a change of the call trees is learned. */
constexpr double MaximumIdentified = 1000;

/** Difference between the deadline of @p request and the one that @p call would have as its nested call. */
Duration deadlineError(const NestedCall &call, const RunningRequest &request)
{
    const Duration error = request.expiry - (call.arrivedAt + call.allowed) - ExpectedDeadlineLoss;
    return error < Duration::zero() ? -error : error;
}

} // namespace

std::optional<std::size_t> CallParentFinder::find(const NestedCall &call, const std::vector<RunningRequest> &running)
{
    auto &known = m_callRoutes[call.route];
    known.longestAllowed = std::max(known.longestAllowed, call.allowed);
    if (call.allowed + LimitTolerance < known.longestAllowed) {
        if (const auto found = findByDeadline(call, running, known)) {
            return found;
        }
    }
    return findByActivity(call, running, known);
}

bool CallParentFinder::CallRoute::isParent(const RouteName &route) const
{
    const auto found = parents.find(route);
    return found != parents.end() && found->second >= identified * MinimumParentShare;
}

std::chrono::milliseconds CallParentFinder::allowedTime(const RouteName &route,
                                                        std::chrono::milliseconds remaining,
                                                        Duration typicalTime,
                                                        const std::vector<RunningRequest> &running,
                                                        TimePoint now)
{
    auto limit = remaining;
    bool makesCalls = false;
    for (const auto &[name, call] : m_callRoutes) {
        if (call.identified >= MinimumIdentified && call.isParent(route)) {
            makesCalls = true;
            limit = std::min(limit, std::chrono::floor<std::chrono::milliseconds>(call.longestAllowed) - 2 * LimitTolerance);
        }
    }
    if (!makesCalls || ++m_allowedTimes % UnlimitedInterval == 0 || limit < typicalTime * MinimumRunTimes) {
        return remaining;
    }
    const auto isTaken = [&running, now](std::chrono::milliseconds allowed) {
        return std::any_of(running.begin(), running.end(), [&](const RunningRequest &it) {
            const Duration distance = it.expiry - (now + allowed);
            return distance < DeadlineSpacing && distance > -DeadlineSpacing;
        });
    };
    const auto lowest = std::chrono::floor<std::chrono::milliseconds>(limit * (1 - MaximumReduction));
    for (auto allowed = limit; allowed >= lowest; allowed -= DeadlineSpacing / 2) {
        if (!isTaken(allowed)) {
            return allowed;
        }
    }
    return limit;
}

std::optional<std::size_t>
CallParentFinder::findByDeadline(const NestedCall &call, const std::vector<RunningRequest> &running, CallRoute &known)
{
    std::optional<std::size_t> closest;
    std::size_t matches = 0;
    for (std::size_t n = 0; n < running.size(); ++n) {
        const Duration error = deadlineError(call, running[n]);
        if (error > DeadlineTolerance) {
            continue;
        }
        ++matches;
        if (!closest || error < deadlineError(call, running[*closest])) {
            closest = n;
        }
    }
    if (matches == 1) {
        known.parents[running[*closest].route] += 1;
        known.identified += 1;
        if (known.identified >= MaximumIdentified) {
            known.identified /= 2;
            for (auto &[route, count] : known.parents) {
                count /= 2;
            }
        }
    }
    return closest;
}

std::optional<std::size_t>
CallParentFinder::findByActivity(const NestedCall &call, const std::vector<RunningRequest> &running, const CallRoute &known)
{
    const TimePoint expiry = call.arrivedAt + call.allowed;
    const auto isBetter = [](const RunningRequest &a, const RunningRequest &b) {
        const bool aIdle = a.openCalls == 0;
        const bool bIdle = b.openCalls == 0;
        return aIdle != bIdle ? aIdle : a.activeAt > b.activeAt;
    };
    std::optional<std::size_t> best;
    for (std::size_t n = 0; n < running.size(); ++n) {
        const auto &it = running[n];
        if (it.expiry + DeadlineTolerance < expiry || (known.identified >= MinimumIdentified && !known.isParent(it.route))) {
            continue;
        }
        if (!best || isBetter(it, running[*best])) {
            best = n;
        }
    }
    return best;
}

} // namespace Pimentohollow
