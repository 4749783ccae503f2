#include "http/upstream/upstreamclient.h"

#include "http/upstream/upstreamexchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <sys/socket.h>

namespace Pimentohollow
{

namespace
{

Poco::Timespan timespan(Duration duration)
{
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    return { std::max<std::int64_t>(microseconds, 1) };
}

Refusal notRunRefusal(RefusalReason reason, std::string detail)
{
    return { reason, RunState::NotRun, {}, std::move(detail) };
}

Refusal refusalFor(ReadError error)
{
    if (error == ReadError::Timeout) {
        return { RefusalReason::DeadlineExceeded, RunState::Unknown, {}, "no complete answer from the upstream in time" };
    }
    return { RefusalReason::UpstreamFailed, RunState::Unknown, {}, "answer of the upstream: " + std::string(ReadErrorNames.name(error)) };
}

} // namespace

UpstreamClient::UpstreamClient(const Poco::Net::SocketAddress &address, const UpstreamLimits &limits)
    : m_address(address)
    , m_limits(limits)
{
}

bool UpstreamClient::acceptsConnections() const
{
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(m_address, timespan(m_limits.connectTimeout));
        const bool closed = waitUntilReadable(socket.impl()->sockfd(), std::chrono::steady_clock::now() + ProbeDuration);
        return !closed;
    } catch (const Poco::Exception &) {
        return false;
    }
}

const Poco::Net::SocketAddress &UpstreamClient::address() const
{
    return m_address;
}

tl::expected<HttpResponseMessage, Refusal>
UpstreamClient::send(const HttpRequestMessage &request, bool idempotent, TimePoint deadline, Cancellation &cancellation)
{
    auto reused = idempotent ? takeIdleConnection() : std::nullopt;
    auto opened = reused ? tl::expected<Poco::Net::StreamSocket, Refusal>(*reused) : openConnection(deadline);
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    Poco::Net::StreamSocket &socket = *opened;
    if (cancellation.cancelled()) {
        addIdleConnection(socket);
        return tl::unexpected(notRunRefusal(RefusalReason::DeadlineExceeded, "the caller is gone"));
    }
    // Shutting down the connection ends the read below and signals the cancellation to the upstream.
    const int fd = socket.impl()->sockfd();
    const auto subscription = cancellation.onCancel([fd] {
        ::shutdown(fd, SHUT_RDWR);
    });
    socket.setSendTimeout(timespan(deadline - std::chrono::steady_clock::now()));
    auto response = exchange(socket, request, m_limits, m_address.toString(), deadline);
    if (!response) {
        return tl::unexpected(refusalFor(response.error()));
    }
    if (response->reusable) {
        addIdleConnection(socket);
    }
    return std::move(response->message);
}

tl::expected<Poco::Net::StreamSocket, Refusal> UpstreamClient::openConnection(TimePoint deadline)
{
    const Duration timeout = std::min<Duration>(deadline - std::chrono::steady_clock::now(), m_limits.connectTimeout);
    if (timeout <= Duration::zero()) {
        return tl::unexpected(notRunRefusal(RefusalReason::DeadlineExceeded, "deadline passed before the request was sent"));
    }
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(m_address, timespan(timeout));
        socket.setNoDelay(true);
        return socket;
    } catch (const Poco::Exception &ex) {
        return tl::unexpected(notRunRefusal(RefusalReason::NoUpstream, "no connection to the upstream: " + ex.displayText()));
    }
}

std::optional<Poco::Net::StreamSocket> UpstreamClient::takeIdleConnection()
{
    const std::lock_guard lock(m_mutex);
    const TimePoint earliestIdleSince = std::chrono::steady_clock::now() - m_limits.maximumIdleTime;
    while (!m_idleConnections.empty()) {
        const IdleConnection connection = m_idleConnections.back();
        m_idleConnections.pop_back();
        // A readable idle connection was closed by the upstream, or has bytes that belong to no request.
        if (connection.idleSince >= earliestIdleSince && !isReadable(connection.socket.impl()->sockfd())) {
            return connection.socket;
        }
    }
    return std::nullopt;
}

void UpstreamClient::addIdleConnection(const Poco::Net::StreamSocket &socket)
{
    const std::lock_guard lock(m_mutex);
    if (m_idleConnections.size() < m_limits.maximumIdleConnections) {
        m_idleConnections.push_back({ socket, std::chrono::steady_clock::now() });
    }
}

} // namespace Pimentohollow
