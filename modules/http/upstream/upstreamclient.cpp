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
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    return { std::max<std::int64_t>(micros, 1) };
}

Refusal notRun(RefusalReason reason, std::string detail)
{
    return { reason, RunState::NotRun, {}, std::move(detail) };
}

Refusal refusalOf(ReadFault fault)
{
    if (fault == ReadFault::Timeout) {
        return { RefusalReason::DeadlineExceeded, RunState::Unknown, {}, "no complete answer from the upstream in time" };
    }
    return { RefusalReason::UpstreamFailed, RunState::Unknown, {}, "answer of the upstream: " + std::string(ReadFaultNames.name(fault)) };
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
        socket.connect(m_address, timespan(m_limits.connectTime));
        const bool closed = waitReadable(socket.impl()->sockfd(), std::chrono::steady_clock::now() + ProbeTime);
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
    auto reused = idempotent ? takeIdle() : std::nullopt;
    auto opened = reused ? tl::expected<Poco::Net::StreamSocket, Refusal>(*reused) : open(deadline);
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    Poco::Net::StreamSocket &socket = *opened;
    if (cancellation.cancelled()) {
        keep(socket);
        return tl::unexpected(notRun(RefusalReason::DeadlineExceeded, "the caller is gone"));
    }
    // Shutting the connection down wakes the read below and tells the upstream to stop.
    const int fd = socket.impl()->sockfd();
    const auto subscription = cancellation.onCancel([fd] {
        ::shutdown(fd, SHUT_RDWR);
    });
    socket.setSendTimeout(timespan(deadline - std::chrono::steady_clock::now()));
    auto answer = exchange(socket, request, m_limits, m_address.toString(), deadline);
    if (!answer) {
        return tl::unexpected(refusalOf(answer.error()));
    }
    if (answer->reusable) {
        keep(socket);
    }
    return std::move(answer->message);
}

tl::expected<Poco::Net::StreamSocket, Refusal> UpstreamClient::open(TimePoint deadline)
{
    const Duration left = std::min<Duration>(deadline - std::chrono::steady_clock::now(), m_limits.connectTime);
    if (left <= Duration::zero()) {
        return tl::unexpected(notRun(RefusalReason::DeadlineExceeded, "deadline passed before the request was sent"));
    }
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(m_address, timespan(left));
        socket.setNoDelay(true);
        return socket;
    } catch (const Poco::Exception &ex) {
        return tl::unexpected(notRun(RefusalReason::NoUpstream, "no connection to the upstream: " + ex.displayText()));
    }
}

std::optional<Poco::Net::StreamSocket> UpstreamClient::takeIdle()
{
    const std::lock_guard lock(m_mutex);
    const TimePoint oldest = std::chrono::steady_clock::now() - m_limits.maximumIdleTime;
    while (!m_idle.empty()) {
        const IdleConnection connection = m_idle.back();
        m_idle.pop_back();
        // A readable idle connection was closed by the upstream, or carries bytes that belong to no request.
        if (connection.since >= oldest && !readableNow(connection.socket.impl()->sockfd())) {
            return connection.socket;
        }
    }
    return std::nullopt;
}

void UpstreamClient::keep(const Poco::Net::StreamSocket &socket)
{
    const std::lock_guard lock(m_mutex);
    if (m_idle.size() < m_limits.maximumIdleConnections) {
        m_idle.push_back({ socket, std::chrono::steady_clock::now() });
    }
}

} // namespace Pimentohollow
