#pragma once

#include "core/clock.h"
#include "core/names.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace Pimentohollow
{

/** A request that asks for a slot of the upstream. */
struct SlotRequest {
    /** Chosen by the caller; unique among the requests that the queue knows. */
    std::uint64_t ticket = 0;
    RouteName route;
    /** 0 is the most urgent. */
    std::uint32_t rank = 0;
    /** Part of a tree whose root has started. */
    bool nested = false;
    /** When the answer is of no use any more. */
    TimePoint expiry{};
};

struct SlotGranted {
};

struct SlotQueued {
};

struct SlotRefused {
    /** When room is expected. */
    Duration retryAfter{};
};

using SlotDecision = std::variant<SlotGranted, SlotQueued, SlotRefused>;

/** Decisions on requests that waited. */
struct SlotSchedule {
    std::vector<std::uint64_t> start;
    std::vector<std::uint64_t> refuse;
};

/**
 * Hands out the slots that an upstream announces, and queues or refuses what doesn't fit.
 *
 * The load it answers: a service at the bottom of the call trees that gets one and a half times what it can do, where an upstream that is
 * sent more than its slots stops answering. Requests wait here, where they can still be refused as not run. Calls of trees that have
 * started go before new roots of a route one rank above theirs, because refusing them wastes the work of the whole tree. A request that
 * can't be finished in time by the run times measured so far is refused at once. Not thread-safe, no clock.
 */
class SlotQueue
{
public:
    /** @param slots announced by the upstream; 0 while it takes no requests */
    void setSlots(std::uint32_t slots);

    SlotDecision offer(const SlotRequest &request, TimePoint now);
    /** The request has left its slot. @param runTime nothing if it says little about the upstream, for example after a cancellation */
    SlotSchedule release(std::uint64_t ticket, std::optional<Duration> runTime, TimePoint now);
    /** Forgets a request that queued; false if it doesn't. */
    bool remove(std::uint64_t ticket);
    /** Starts what fits and refuses what can't finish any more. */
    SlotSchedule schedule(TimePoint now);
    /** Refuses all that wait. */
    SlotSchedule refuseAll();

    /** Time until a request that arrives now would start. */
    Duration expectedWait() const;
    /** Mean run time of a route; zero if unknown. */
    Duration runTime(const RouteName &route) const;

    std::uint32_t usableSlots() const
    {
        return m_usableSlots;
    }

    std::size_t running() const
    {
        return m_running.size();
    }

    std::size_t waiting() const
    {
        return m_waiting.size();
    }

private:
    /** Urgency, then order of arrival. */
    using Position = std::pair<std::int64_t, std::uint64_t>;

    /** @param queued the request does not start at once; then it must be sure to finish */
    bool canFinish(const SlotRequest &request, TimePoint start, bool queued) const;
    Duration expectedWait(std::size_t ahead) const;

    std::uint32_t m_usableSlots = 0;
    std::uint64_t m_nextPosition = 0;
    std::map<Position, SlotRequest> m_waiting;
    std::unordered_map<std::uint64_t, Position> m_positions;
    std::unordered_map<std::uint64_t, RouteName> m_running;
    /** Moving averages in seconds. */
    struct RunTimeStatistics {
        double mean = 0;
        /** Mean distance from the mean. */
        double meanDeviation = 0;
    };
    std::unordered_map<RouteName, RunTimeStatistics> m_runTimeStatistics;
    double m_meanRunTime = 0;
};

} // namespace Pimentohollow
