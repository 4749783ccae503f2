#pragma once

#include "core/clock.h"

#include <condition_variable>
#include <map>
#include <mutex>

namespace Pimentohollow
{

/** The open connections of a listener, so that a graceful shutdown can close the idle ones and wait for the others. */
class ConnectionRegistry
{
public:
    /** Registers a connection during its own lifetime. */
    class Entry
    {
    public:
        Entry(ConnectionRegistry &owner, int fd);
        ~Entry();
        Entry(const Entry &) = delete;
        Entry &operator=(const Entry &) = delete;

        /** @param idle true if the connection waits for its next request */
        void setIdle(bool idle);

    private:
        ConnectionRegistry &m_owner;
        int m_fd;
    };

    /** Makes every connection close after its current or next response. */
    void beginDrain();

    bool isDraining() const;

    /**
     * Shuts down the receiving side of connections that wait for a request, now or later, so that their reads end.
     * A request already received is still read and served.
     */
    void closeIdleConnections();

    /** Waits until all connections are closed; false at the deadline. */
    bool waitUntilEmpty(TimePoint deadline);

    std::size_t connectionCount() const;

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<int, bool> m_idleByFd;
    bool m_draining = false;
    bool m_closingIdle = false;
};

} // namespace Pimentohollow
