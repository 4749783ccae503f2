#pragma once

#include "async/loop/eventloop.h"

namespace Pimentohollow
{

enum class WakeReason {
    Woken,
    TimedOut,
};

/** Where one fiber waits until other code of the loop wakes it. A wake-up without a waiting fiber is kept for the next wait. */
class WaitPoint
{
public:
    explicit WaitPoint(EventLoop &loop);
    WaitPoint(const WaitPoint &) = delete;
    WaitPoint &operator=(const WaitPoint &) = delete;

    /** Suspends the current fiber; at most one fiber may wait here. */
    WakeReason wait(TimePoint deadline);
    void wake();

private:
    EventLoop &m_loop;
    EventLoop::Fiber *m_waiting = nullptr;
    bool m_woken = false;
};

} // namespace Pimentohollow
