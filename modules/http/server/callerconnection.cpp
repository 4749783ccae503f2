#include "http/server/callerconnection.h"

#include "core/logger.h"
#include "http/rules/problemresponse.h"
#include "http/server/messagewriter.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocketImpl.h>

namespace Pimentohollow
{

namespace
{

const Logger Log("http.server");

Poco::Timespan timespan(Duration duration)
{
    return { std::chrono::duration_cast<std::chrono::microseconds>(duration).count() };
}

/** Discards what the caller still sends before the close: closing with unread bytes resets the connection and loses the response. */
void lingeringClose(Poco::Net::StreamSocket &socket)
{
    constexpr auto MaximumWait = std::chrono::seconds(1);
    constexpr std::size_t MaximumDiscardedBytes = std::size_t{ 4 } * 1024 * 1024;
    constexpr std::size_t BlockBytes = 4096;
    socket.shutdownSend();
    ByteStream stream(socket);
    const TimePoint deadline = std::chrono::steady_clock::now() + MaximumWait;
    std::string discarded;
    for (std::size_t n = 0; n < MaximumDiscardedBytes && stream.readExactly(discarded, BlockBytes, deadline); n += BlockBytes) {
        discarded.clear();
    }
}

} // namespace

CallerConnection::CallerConnection(const Poco::Net::StreamSocket &socket, const ConnectionEnvironment &environment)
    : TCPServerConnection(socket)
    , m_environment(environment)
{
}

void CallerConnection::run()
{
    ConnectionRegistry::Entry entry(m_environment.registry, socket().impl()->sockfd());
    try {
        socket().setNoDelay(true);
        socket().setSendTimeout(timespan(m_environment.options.sendTimeout));
        // Limits reads to which the deadline of poll() doesn't apply, such as a TLS handshake.
        socket().setReceiveTimeout(timespan(m_environment.options.limits.headTimeout));
        serveRequests(entry);
    } catch (const Poco::Exception &ex) {
        Log.debug("connection_failed", { { "error", ex.displayText() } });
    } catch (const std::exception &ex) {
        Log.error("connection_failed", { { "error", ex.what() } });
    }
}

void CallerConnection::serveRequests(ConnectionRegistry::Entry &entry)
{
    ByteStream stream(socket());
    while (true) {
        entry.setIdle(true);
        const auto ready = stream.waitForData(std::chrono::steady_clock::now() + m_environment.options.idleTimeout);
        entry.setIdle(false);
        if (!ready || !serveRequest(stream)) {
            return;
        }
    }
}

bool CallerConnection::serveRequest(ByteStream &stream)
{
    RequestReader reader(stream, m_environment.options.limits, [this] {
        sendAll(socket(), "HTTP/1.1 100 Continue\r\n\r\n");
    });
    auto received = reader.read();
    if (!received) {
        sendErrorResponse(received.error());
        return false;
    }
    const bool headRequest = received->message.method == "HEAD";
    Cancellation cancellation;
    HttpResponseMessage response;
    {
        const DisconnectWatcher::Watch watch(m_environment.watcher, socket().impl()->sockfd(), cancellation);
        response = callHandler(std::move(received->message), cancellation);
    }
    if (cancellation.cancelled()) {
        return false;
    }
    const bool keepAlive = received->keepAlive && !m_environment.registry.isDraining();
    if (!sendAll(socket(), serializeResponse(response, keepAlive, headRequest))) {
        return false;
    }
    if (!keepAlive) {
        lingeringClose(socket());
    }
    return keepAlive;
}

HttpResponseMessage CallerConnection::callHandler(HttpRequestMessage request, Cancellation &cancellation)
{
    try {
        return m_environment.handler.handle(std::move(request), cancellation);
    } catch (const std::exception &ex) {
        Log.error("request_failed", { { "error", ex.what() } });
        return problemResponse({ RefusalReason::UpstreamFailed, RunState::Unknown, {}, "internal error" });
    }
}

void CallerConnection::sendErrorResponse(const RequestError &error)
{
    if (error.status == 0) {
        return;
    }
    const Refusal refusal{ RefusalReason::BadRequest, RunState::NotRun, {}, error.detail };
    if (sendAll(socket(), serializeResponse(problemResponse(refusal, error.status), false, false))) {
        lingeringClose(socket());
    }
}

} // namespace Pimentohollow
