#include "async/net/httpclient.h"

#include "http/server/messagewriter.h"

namespace Pimentohollow
{

namespace
{

/** Answers beyond this size are refused. */
constexpr std::size_t MaximumBodyBytes = std::size_t{ 16 } * 1024 * 1024;
/** Bounds the connection attempt, so that a silent server leaves time for the rest of the call. */
constexpr std::chrono::seconds ConnectTime(1);
constexpr std::size_t MostIdle = 4;
/** A connection that has been idle for longer may have gone silent without a reset; a new one costs less than a call without an answer. */
constexpr std::chrono::seconds MaximumIdleTime(1);

} // namespace

HttpClient::HttpClient(EventLoop &loop, IpEndpoint address)
    : m_loop(loop)
    , m_address(std::move(address))
{
}

Result<HttpResponseMessage> HttpClient::exchange(const HttpRequestMessage &request, TimePoint deadline)
{
    auto connection = take(deadline);
    if (!connection) {
        return tl::unexpected(connection.error());
    }
    if (const auto sent = (*connection)->socket().writeAll(serializeRequest(request, m_address.text()), deadline); !sent) {
        return tl::unexpected(sent.error());
    }
    auto response = (*connection)->readResponse(request.method == "HEAD", MaximumBodyBytes, false, deadline);
    if (!response) {
        // What silenced this connection may have silenced the others.
        m_idle.clear();
        const auto kind = response.error() == ReadError::Timeout ? ErrorKind::Timeout : ErrorKind::OutcomeUnknown;
        return failure(kind, request.target, std::string(ReadErrorNames.name(response.error())), m_address.text());
    }
    if (response->reusable && m_idle.size() < MostIdle) {
        m_idle.push_back({ std::move(*connection), m_loop.clock().now() });
    }
    return std::move(response->message);
}

Result<std::unique_ptr<HttpConnection>> HttpClient::take(TimePoint deadline)
{
    while (!m_idle.empty()) {
        auto last = std::move(m_idle.back());
        m_idle.pop_back();
        if (last.connection->isIdle() && m_loop.clock().now() - last.idleSince <= MaximumIdleTime) {
            return std::move(last.connection);
        }
    }
    auto socket = AsyncSocket::connect(m_loop, m_address, std::min(deadline, m_loop.clock().now() + ConnectTime));
    if (!socket) {
        return tl::unexpected(socket.error());
    }
    return std::make_unique<HttpConnection>(std::move(*socket));
}

} // namespace Pimentohollow
