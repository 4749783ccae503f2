#include "async/net/asyncsocket.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Pimentohollow
{

namespace
{

/** The kernel raises no event when the last byte is acknowledged. */
constexpr std::chrono::milliseconds DeliveryPollInterval(2);

} // namespace

AsyncSocket::AsyncSocket(EventLoop &loop, int fd)
    : m_loop(loop)
    , m_fd(fd)
    , m_readers(loop)
    , m_writers(loop)
{
    const int on = 1;
    ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (!m_loop.watch(m_fd, *this)) {
        ::close(std::exchange(m_fd, -1));
        m_closedByPeer = true;
    }
}

AsyncSocket::~AsyncSocket()
{
    close();
}

Result<std::unique_ptr<AsyncSocket>> AsyncSocket::connect(EventLoop &loop, const IpEndpoint &address, TimePoint deadline)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return failure(ErrorKind::Unavailable, "socket.create", std::strerror(errno), address.text());
    }
    sockaddr_in remote{};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(address.port);
    inet_pton(AF_INET, address.address.c_str(), &remote.sin_addr);
    const int rc = ::connect(fd, reinterpret_cast<const sockaddr *>(&remote), sizeof remote);
    if (rc != 0 && errno != EINPROGRESS) {
        const int ec = errno;
        ::close(fd);
        return failure(ErrorKind::Unavailable, "socket.connect", std::strerror(ec), address.text());
    }
    auto socket = std::make_unique<AsyncSocket>(loop, fd);
    if (rc != 0) {
        if (const auto finished = socket->finishConnect(address, deadline); !finished) {
            return tl::unexpected(finished.error());
        }
    }
    return socket;
}

Result<void> AsyncSocket::finishConnect(const IpEndpoint &address, TimePoint deadline)
{
    m_writable = false;
    m_readable = false;
    while (!m_writable && !m_closedByPeer) {
        if (m_writers.wait(deadline) == WakeReason::TimedOut) {
            return failure(ErrorKind::Timeout, "socket.connect", "no answer", address.text());
        }
    }
    recordPendingFailure();
    if (m_fd < 0 || hasFailed()) {
        return failure(ErrorKind::Unavailable, "socket.connect", hasFailed() ? failureText() : "closed", address.text());
    }
    return {};
}

void AsyncSocket::recordFailure(int ec)
{
    if (m_failure == 0) {
        m_failure = ec;
    }
}

void AsyncSocket::recordPendingFailure()
{
    int ec = 0;
    socklen_t size = sizeof ec;
    if (m_fd >= 0 && ::getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &ec, &size) != 0) {
        ec = errno;
    }
    recordFailure(ec);
}

std::string AsyncSocket::failureText() const
{
    return hasFailed() ? std::strerror(m_failure) : "";
}

ReadResult<std::size_t> AsyncSocket::read(std::span<char> buffer, TimePoint deadline)
{
    while (m_fd >= 0 && !std::exchange(m_readInterrupted, false)) {
        if (m_readable || m_closedByPeer) {
            const auto count = ::recv(m_fd, buffer.data(), buffer.size(), 0);
            if (count > 0) {
                // A short read has emptied the buffer of the kernel: the next bytes raise an event.
                m_readable = static_cast<std::size_t>(count) == buffer.size();
                return static_cast<std::size_t>(count);
            }
            if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
                if (count == 0) {
                    // recv() doesn't report a reset that follows an orderly end, or whose error another call has met.
                    recordPendingFailure();
                } else {
                    recordFailure(errno);
                }
                m_closedByPeer = true;
                m_endRead = true;
                return tl::unexpected(hasFailed() ? ReadError::Failed : ReadError::Closed);
            }
            m_readable = errno == EINTR;
            if (m_readable) {
                continue;
            }
            if (m_closedByPeer) {
                return tl::unexpected(ReadError::Failed);
            }
        }
        if (m_readers.wait(deadline) == WakeReason::TimedOut) {
            return tl::unexpected(ReadError::Timeout);
        }
    }
    return tl::unexpected(ReadError::Failed);
}

ReadResult<void> AsyncSocket::waitUntilDelivered(TimePoint deadline)
{
    while (m_fd >= 0) {
        int unacknowledgedBytes = 0;
        const bool known = ::ioctl(m_fd, SIOCOUTQ, &unacknowledgedBytes) == 0;
        recordPendingFailure();
        if (hasFailed()) {
            return tl::unexpected(ReadError::Failed);
        }
        if (!known || unacknowledgedBytes == 0) {
            return {};
        }
        if (m_loop.clock().now() >= deadline) {
            return tl::unexpected(ReadError::Timeout);
        }
        m_loop.sleepFor(DeliveryPollInterval);
    }
    return tl::unexpected(ReadError::Failed);
}

bool AsyncSocket::hasPendingBytes()
{
    if (m_fd < 0 || m_closedByPeer) {
        return true;
    }
    return m_readable && hasUnreadBytes();
}

bool AsyncSocket::hasUnreadBytes()
{
    if (m_fd < 0 || m_closedByPeer) {
        return true;
    }
    char byte = 0;
    const auto count = ::recv(m_fd, &byte, 1, MSG_PEEK);
    m_readable = count >= 0 || errno != EAGAIN;
    if (count < 0 && errno != EAGAIN && errno != EINTR) {
        recordFailure(errno);
    }
    return m_readable;
}

std::optional<std::size_t> AsyncSocket::writeSome(std::string_view bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        if (m_fd < 0) {
            return std::nullopt;
        }
        const auto count = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count >= 0) {
            sent += static_cast<std::size_t>(count);
            continue;
        }
        if (errno == EINTR) {
            continue;
        }
        if (errno != EAGAIN) {
            recordFailure(errno);
            return std::nullopt;
        }
        m_writable = false;
        break;
    }
    return sent;
}

Result<void> AsyncSocket::writeAll(std::string_view bytes, TimePoint deadline)
{
    while (true) {
        const auto sent = writeSome(bytes);
        if (!sent) {
            return failure(ErrorKind::OutcomeUnknown, "socket.write", "connection failed");
        }
        bytes.remove_prefix(*sent);
        if (bytes.empty()) {
            return {};
        }
        while (!m_writable && m_fd >= 0) {
            if (m_writers.wait(deadline) == WakeReason::TimedOut) {
                return failure(ErrorKind::Timeout, "socket.write", "the other side doesn't read");
            }
        }
    }
}

void AsyncSocket::close()
{
    if (m_fd < 0) {
        return;
    }
    m_loop.unwatch(m_fd, *this);
    ::close(std::exchange(m_fd, -1));
    m_onClosedByPeer = nullptr;
    m_onWritable = nullptr;
    m_readers.wake();
    m_writers.wake();
}

void AsyncSocket::interruptRead()
{
    m_readInterrupted = true;
    m_readers.wake();
}

void AsyncSocket::finishWriting()
{
    if (m_fd >= 0) {
        ::shutdown(m_fd, SHUT_WR);
    }
}

void AsyncSocket::reset()
{
    if (m_fd < 0) {
        return;
    }
    const linger abort{ 1, 0 };
    ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    close();
}

void AsyncSocket::handleEvents(std::uint32_t events)
{
    if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
        m_readable = true;
        m_readers.wake();
    }
    const bool ended = (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
    if ((events & EPOLLOUT) != 0 || ended) {
        m_writable = true;
        m_writers.wake();
        // Copied, because a callback may close this socket.
        if (const auto callback = m_onWritable) {
            callback();
        }
    }
    if (ended && !std::exchange(m_closedByPeer, true) && m_onClosedByPeer) {
        const auto callback = m_onClosedByPeer;
        callback();
    }
}

} // namespace Pimentohollow
