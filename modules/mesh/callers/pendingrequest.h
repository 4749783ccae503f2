#pragma once

#include "async/loop/waitpoint.h"

namespace Pimentohollow
{

/** Cancellation and wake-up state shared between a request's handler and its connection. */
class PendingRequest
{
public:
    explicit PendingRequest(EventLoop &loop)
        : m_waitPoint(loop)
    {
    }

    /** Marks the request as abandoned by its caller and wakes the fiber that serves it. */
    void cancel()
    {
        m_cancelled = true;
        m_waitPoint.wake();
    }

    bool cancelled() const
    {
        return m_cancelled;
    }

    /** Wakes the fiber that serves the request. */
    void wake()
    {
        m_waitPoint.wake();
    }

    WakeReason wait(TimePoint deadline)
    {
        return m_waitPoint.wait(deadline);
    }

private:
    WaitPoint m_waitPoint;
    bool m_cancelled = false;
};

} // namespace Pimentohollow
