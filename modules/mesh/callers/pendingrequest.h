#pragma once

#include "async/loop/waitpoint.h"

namespace Pimentohollow
{

/** What the code that serves a request shares with the connection it came on. */
class PendingRequest
{
public:
    explicit PendingRequest(EventLoop &loop)
        : m_waitPoint(loop)
    {
    }

    /** The caller has left: the answer isn't wanted any more. */
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
