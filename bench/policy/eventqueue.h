#pragma once

#include "core/clock.h"

#include <cstdint>
#include <queue>
#include <vector>

namespace Pimentohollow
{

enum class EventKind {
    Arrival, ///< index: account
    CallArrives, ///< at the serving node; index: request
    CallRefused, ///< the refusal reaches the calling node; index: request
    CallAnswered, ///< the answer reaches the calling node; index: request
    OwnWorkDone, ///< index: request
    Deadline, ///< index: request
    Resend, ///< a caller sends again; index: resend
    Expire, ///< index: node
    SpreadShares,
};

/** Something that happens in a run; the meaning of the numbers depends on the kind. */
struct Event {
    Duration at{};
    /** Order among events at the same time, so that runs repeat. */
    std::uint64_t sequence = 0;
    EventKind kind = EventKind::Arrival;
    std::uint32_t index = 0;
    /** Of a request; events for an earlier generation are dropped. */
    std::uint32_t generation = 0;
    std::uint32_t level = 0;
    std::uint32_t detail = 0;
};

/** Events in order of time. */
class EventQueue
{
public:
    void push(Event event)
    {
        event.sequence = m_sequence++;
        m_events.push(event);
    }

    Event pop()
    {
        const Event event = m_events.top();
        m_events.pop();
        return event;
    }

    bool empty() const
    {
        return m_events.empty();
    }

private:
    struct Later {
        bool operator()(const Event &a, const Event &b) const
        {
            return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
        }
    };

    std::priority_queue<Event, std::vector<Event>, Later> m_events;
    std::uint64_t m_sequence = 0;
};

} // namespace Pimentohollow
