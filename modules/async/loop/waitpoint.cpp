#include "async/loop/waitpoint.h"

#include <utility>

namespace Pimentohollow
{

WaitPoint::WaitPoint(EventLoop &loop)
    : m_loop(loop)
{
}

WakeReason WaitPoint::wait(TimePoint deadline)
{
    if (std::exchange(m_woken, false)) {
        return WakeReason::Woken;
    }
    bool timedOut = false;
    m_waiting = m_loop.current();
    const bool limited = deadline != TimePoint::max();
    TimerId timer;
    if (limited) {
        timer = m_loop.schedule(deadline, [this, &timedOut] {
            // The fiber may have been woken in the same round and not have run yet.
            if (m_waiting != nullptr) {
                timedOut = true;
                m_loop.makeReady(*std::exchange(m_waiting, nullptr));
            }
        });
    }
    m_loop.suspend();
    if (limited && !timedOut) {
        m_loop.cancel(timer);
    }
    m_woken = false;
    return timedOut ? WakeReason::TimedOut : WakeReason::Woken;
}

void WaitPoint::wake()
{
    if (m_waiting == nullptr) {
        m_woken = true;
        return;
    }
    m_woken = true;
    m_loop.makeReady(*std::exchange(m_waiting, nullptr));
}

} // namespace Pimentohollow
