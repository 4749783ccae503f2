#pragma once

#include "core/clock.h"
#include "core/names.h"
#include "mesh/decisions/requestpacer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace Pimentohollow
{

/** A request for a slot of the upstream. */
struct SlotRequest {
    /** Chosen by the caller; unique among the requests in the queue and in the slots. */
    std::uint64_t ticket = 0;
    RouteName route;
    /** 0 is the most urgent. */
    std::uint32_t rank = 0;
    /** True for a call of a call tree whose root request has started. */
    bool nested = false;
    /** Time after which the response is of no use. */
    TimePoint expiry{};
};

struct SlotGranted {
};

struct SlotQueued {
};

struct SlotRefused {
    /** Time after which a free slot is expected. */
    Duration retryAfter{};
};

using SlotDecision = std::variant<SlotGranted, SlotQueued, SlotRefused>;

/** Tickets of queued requests to start and to refuse. */
struct SlotSchedule {
    std::vector<std::uint64_t> start;
    std::vector<std::uint64_t> refuse;
};

/**
 * Assigns the slots that an upstream announces to requests, and queues or refuses the requests that exceed them.
 *
 * Designed for a service at the bottom of the call trees that receives one and a half times its capacity, where an upstream that is sent
 * more than its slots stops responding. Requests wait here, where they can still be refused as not run. Nested calls of started call trees
 * are queued one rank more urgent than new root requests of the same rank, because refusing a nested call wastes the work of the whole call
 * tree. A request that can't finish in time by the measured run times is refused at once.
 *
 * An upstream may also name a limit of requests per second, when it is in trouble. Requests beyond it wait or are refused in the same way,
 * and the reported slots shrink to those that the limit can keep busy, so that other nodes place less there and admit fewer call trees.
 * Not thread-safe; the caller passes the time.
 */
class SlotQueue
{
public:
    /** @param slots as announced by the upstream; 0 while it accepts no requests */
    void setSlots(std::uint32_t slots);
    /** Sets the limit that the upstream names, in requests per second; nothing removes it. */
    void setRateLimit(std::optional<double> requestsPerSecond, TimePoint now);

    SlotDecision offer(const SlotRequest &request, TimePoint now);
    /**
     * Releases the slot of a request and schedules queued ones.
     * @param runTime nothing if it isn't representative of the upstream, for example after a cancellation
     */
    SlotSchedule release(std::uint64_t ticket, std::optional<Duration> runTime, TimePoint now);
    /** Removes a request from the queue; false if it isn't queued. */
    bool remove(std::uint64_t ticket);
    /** Starts queued requests while there are free slots, and refuses those that can't finish in time. */
    SlotSchedule schedule(TimePoint now);
    /** Refuses all queued requests. */
    SlotSchedule refuseAll();

    /** Returns the time until a request that arrives now would start. */
    Duration expectedWait() const;
    /** Returns the mean run time of a route; zero if unknown. */
    Duration runTime(const RouteName &route) const;

    std::uint32_t usableSlots() const
    {
        return m_usableSlots;
    }

    /** Slots that can be kept busy within the upstream's limit; the usable ones if there is no limit. */
    std::uint32_t sustainableSlots() const;
    /**
     * Time for which a request occupies one of the sustainable slots, so that both together amount to the limit; zero if there is no limit
     * or no slot.
     */
    Duration occupancyTime() const;

    std::size_t running() const
    {
        return m_running.size();
    }

    std::size_t waiting() const
    {
        return m_waiting.size();
    }

private:
    /** Urgency (lower is more urgent), then order of arrival. */
    using Position = std::pair<std::int64_t, std::uint64_t>;

    /** @param queued the request doesn't start at once; then it needs the margin for queued requests */
    bool canFinish(const SlotRequest &request, TimePoint start, bool queued) const;
    Duration expectedWait(std::size_t ahead) const;
    /** Takes a slot for a request if one is free and the limit allows it. */
    bool tryStart(const SlotRequest &request, TimePoint now);

    RequestPacer m_pacer;
    std::uint32_t m_usableSlots = 0;
    std::uint64_t m_nextPosition = 0;
    std::map<Position, SlotRequest> m_waiting;
    std::unordered_map<std::uint64_t, Position> m_positions;
    std::unordered_map<std::uint64_t, RouteName> m_running;
    /** Exponential moving averages in seconds. */
    struct RunTimeStatistics {
        double mean = 0;
        /** Mean absolute deviation. */
        double meanDeviation = 0;
    };
    std::unordered_map<RouteName, RunTimeStatistics> m_runTimeStatistics;
    double m_meanRunTime = 0;
};

} // namespace Pimentohollow
