#include "async/net/asynclistener.h"

#include "core/logger.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Pimentohollow
{

namespace
{

/** Connections that wait to be accepted; a full queue drops opening packets, which come again only after a second. */
constexpr int Backlog = 1024;
/** Pause after accept() ran out of descriptors or memory. */
constexpr std::chrono::milliseconds AcceptPause(50);
const Logger Log("async");

} // namespace

AsyncListener::AsyncListener(EventLoop &loop, Accepted accepted)
    : m_loop(loop)
    , m_accepted(std::move(accepted))
{
}

AsyncListener::~AsyncListener()
{
    release();
}

Result<void> AsyncListener::listen(const IpEndpoint &address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_port = htons(address.port);
    inet_pton(AF_INET, address.address.c_str(), &local.sin_addr);
    const bool bound = fd >= 0 && ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0
        && ::bind(fd, reinterpret_cast<const sockaddr *>(&local), sizeof local) == 0 && ::listen(fd, Backlog) == 0
        && m_loop.watch(fd, *this);
    if (!bound) {
        const int ec = errno;
        if (fd >= 0) {
            ::close(fd);
        }
        return failure(ErrorKind::Unavailable, "socket.listen", std::strerror(ec), address.text());
    }
    m_fd = fd;
    socklen_t size = sizeof local;
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&local), &size);
    m_port = ntohs(local.sin_port);
    return {};
}

void AsyncListener::close()
{
    handleEvents(0);
    release();
}

void AsyncListener::release()
{
    if (m_fd < 0) {
        return;
    }
    m_loop.unwatch(m_fd, *this);
    ::close(std::exchange(m_fd, -1));
}

void AsyncListener::handleEvents(std::uint32_t /*events*/)
{
    while (m_fd >= 0) {
        const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd >= 0) {
            m_accepted(std::make_unique<AsyncSocket>(m_loop, fd));
            continue;
        }
        if (errno == EINTR || errno == ECONNABORTED) {
            continue;
        }
        if (errno != EAGAIN) {
            Log.error("accept_failed", { { "error", std::strerror(errno) } });
            m_loop.schedule(m_loop.now() + AcceptPause, [this] {
                handleEvents(0);
            });
        }
        return;
    }
}

} // namespace Pimentohollow
