#include "http/server/connectionregistry.h"

#include <sys/socket.h>

namespace Pimentohollow
{

ConnectionRegistry::Entry::Entry(ConnectionRegistry &owner, int fd)
    : m_owner(owner)
    , m_fd(fd)
{
    const std::lock_guard lock(m_owner.m_mutex);
    m_owner.m_idleByFd[m_fd] = false;
}

ConnectionRegistry::Entry::~Entry()
{
    const std::lock_guard lock(m_owner.m_mutex);
    m_owner.m_idleByFd.erase(m_fd);
    m_owner.m_changed.notify_all();
}

void ConnectionRegistry::Entry::setIdle(bool idle)
{
    const std::lock_guard lock(m_owner.m_mutex);
    m_owner.m_idleByFd[m_fd] = idle;
    if (idle && m_owner.m_closingIdle) {
        ::shutdown(m_fd, SHUT_RD);
    }
}

void ConnectionRegistry::beginDrain()
{
    const std::lock_guard lock(m_mutex);
    m_draining = true;
}

bool ConnectionRegistry::isDraining() const
{
    const std::lock_guard lock(m_mutex);
    return m_draining;
}

void ConnectionRegistry::closeIdleConnections()
{
    // Only the receiving side is shut down: Linux still delivers bytes that are already in the receive buffer.
    const std::lock_guard lock(m_mutex);
    m_closingIdle = true;
    for (const auto &[fd, idle] : m_idleByFd) {
        if (idle) {
            ::shutdown(fd, SHUT_RD);
        }
    }
}

bool ConnectionRegistry::waitUntilEmpty(TimePoint deadline)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_until(lock, deadline, [this] {
        return m_idleByFd.empty();
    });
}

std::size_t ConnectionRegistry::connectionCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_idleByFd.size();
}

} // namespace Pimentohollow
