#include "mesh/callers/callersession.h"

#include "core/logger.h"
#include "http/server/messagewriter.h"

#include <array>
#include <utility>

namespace Pimentohollow
{

namespace
{

/** Requests of one connection that are served concurrently. */
constexpr std::size_t MaximumConcurrentRequests = 16;
/** Time for a caller to read a response; limits how long a slow caller keeps memory buffered. */
constexpr std::chrono::seconds ResponseWriteTimeout(10);
/** Time for a caller to close its sending side after the last response. */
constexpr std::chrono::seconds LingerTimeout(1);
/** Time for the first request of a new connection during shutdown: a caller that connects has a request to send. */
constexpr std::chrono::milliseconds FirstRequestTimeout(300);
constexpr std::uint16_t ServiceUnavailable = 503;
/** Retry-After of a request refused because the buffer budget is full: by then most buffered messages have reached their deadlines. */
constexpr std::chrono::seconds BufferFullRetryAfter(1);
const Logger Log("callers");

RequestLimits limitsOf(const CallerBounds &bounds)
{
    RequestLimits limits;
    limits.maximumHeadBytes = bounds.headBytes;
    limits.maximumBodyBytes = bounds.bodyBytes;
    limits.headTimeout = std::chrono::milliseconds(bounds.headMilliseconds);
    return limits;
}

/** True if a request with this method may be served concurrently with others of its connection. */
bool mayRunConcurrently(const std::string &method)
{
    return method == "GET" || method == "HEAD";
}

} // namespace

CallerSession::CallerSession(std::unique_ptr<AsyncSocket> socket, const Environment &environment)
    : m_environment(environment)
    , m_connection(std::move(socket))
    , m_exchangesChanged(environment.loop)
    , m_openedAt(environment.loop.now())
{
}

void CallerSession::start()
{
    // The socket belongs to this object, so the callback never outlives it.
    m_connection.socket().onClosedByPeer([this] {
        cancelExchanges();
    });
    m_connection.stream().setBufferBudget(m_environment.bufferBudget, [this] {
        m_connection.socket().interruptRead();
    });
    m_environment.loop.spawn([self = shared_from_this()] {
        self->readRequests();
    });
}

void CallerSession::readRequests()
{
    while (!m_readingEnded && m_connection.socket().isOpen()) {
        const auto idleTimeout = std::chrono::milliseconds(m_environment.bounds().idleMilliseconds);
        const auto ready = m_connection.stream().waitForData(m_environment.loop.clock().now() + idleTimeout);
        if (!ready && ready.error() == ReadError::Timeout && !m_exchanges.empty()) {
            continue;
        }
        m_receivingRequest = true;
        m_requestSeen = true;
        const bool continueReading = ready && mayReadNext() && readRequest();
        m_receivingRequest = false;
        if (!continueReading) {
            break;
        }
        while (!m_readingEnded && m_exchanges.size() >= MaximumConcurrentRequests) {
            m_exchangesChanged.wait(TimePoint::max());
        }
    }
    while (!m_readingEnded && !m_exchanges.empty()) {
        m_exchangesChanged.wait(TimePoint::max());
    }
    if (m_environment.isShuttingDown() && !m_lastResponseSent && m_connection.socket().isOpen()) {
        // The last response was completed before the stop and left the connection open.
        m_connection.socket().finishWriting();
        m_lastResponseSent = true;
    }
    if (m_lastResponseSent) {
        // Closing before the caller has closed its sending side would reset the connection and could discard the last response.
        const TimePoint deadline = m_environment.loop.clock().now() + LingerTimeout;
        std::array<char, 512> discarded{};
        while (m_connection.socket().read(discarded, deadline)) {
        }
    }
    m_connection.socket().close();
    m_environment.connectionClosed(this);
}

bool CallerSession::lastResponseCloses() const
{
    return !m_exchanges.empty() && m_exchanges.back()->closesConnection;
}

bool CallerSession::mayReadNext() const
{
    // A stopping node closes the connection with the last pending response, so no request may join the pending ones.
    const bool awaitsLast = m_environment.isShuttingDown() && !m_exchanges.empty();
    return !m_readingEnded && !awaitsLast && !lastResponseCloses();
}

void CallerSession::closeWhenIdle()
{
    const bool awaitsFirstRequest = !m_requestSeen && m_environment.loop.now() - m_openedAt < FirstRequestTimeout;
    if (!m_exchanges.empty() || m_receivingRequest || awaitsFirstRequest || m_connection.socket().hasUnreadBytes()) {
        return;
    }
    m_readingEnded = true;
    m_connection.socket().close();
}

void CallerSession::abort()
{
    cancelExchanges();
    m_connection.socket().reset();
}

bool CallerSession::readRequest()
{
    const RequestLimits limits = limitsOf(m_environment.bounds());
    m_connection.stream().startMessage();
    RequestReader reader(m_connection.stream(), limits, [this] {
        if (m_exchanges.empty()) {
            m_connection.socket().writeSome("HTTP/1.1 100 Continue\r\n\r\n");
        }
    });
    auto received = reader.read();
    if (!received) {
        rejectUnreadable(received.error());
        return false;
    }
    m_connection.stream().startMessage();
    const bool exclusive = !mayRunConcurrently(received->message.method);
    while (exclusive && !m_readingEnded && !m_exchanges.empty()) {
        m_exchangesChanged.wait(TimePoint::max());
    }
    if (m_readingEnded || lastResponseCloses()) {
        // Not served: what is sent behind a response that closes the connection counts as not received.
        return false;
    }
    auto exchange = std::make_shared<Exchange>(m_environment.loop, m_environment.bufferBudget);
    if (!exchange->reservation.set(received->message.body.size())) {
        rejectUnreadable({ ServiceUnavailable, std::string(ReadErrorNames.name(ReadError::OverBudget)) });
        return false;
    }
    m_exchanges.push_back(exchange);
    const bool keepAlive = received->keepAlive;
    m_environment.loop.spawn([self = shared_from_this(), exchange, request = std::move(received->message), keepAlive]() mutable {
        self->serve(exchange, std::move(request), keepAlive);
    });
    while (exclusive && !m_readingEnded && !m_exchanges.empty()) {
        m_exchangesChanged.wait(TimePoint::max());
    }
    return keepAlive && !m_readingEnded;
}

void CallerSession::serve(const std::shared_ptr<Exchange> &exchange, HttpRequestMessage &&request, bool keepAlive)
{
    const bool headRequest = request.method == "HEAD";
    const auto response = m_environment.serve(std::move(request), exchange->pending);
    completeExchange(*exchange, response, keepAlive, headRequest);
}

void CallerSession::rejectUnreadable(const RequestError &fault)
{
    if (fault.status == 0) {
        return;
    }
    Log.info("request_unreadable", { { "status", std::to_string(fault.status) }, { "detail", fault.detail } });
    auto exchange = std::make_shared<Exchange>(m_environment.loop, m_environment.bufferBudget);
    m_exchanges.push_back(exchange);
    HttpResponseMessage response;
    response.status = fault.status;
    if (fault.status == ServiceUnavailable) {
        response.headers.push_back({ "Retry-After", std::to_string(BufferFullRetryAfter.count()) });
    }
    response.body = fault.detail;
    completeExchange(*exchange, response, false, false);
}

void CallerSession::completeExchange(Exchange &exchange, const HttpResponseMessage &response, bool keepAlive, bool headRequest)
{
    const bool isLast = m_exchanges.back().get() == &exchange;
    exchange.closesConnection = !keepAlive || (isLast && m_environment.isShuttingDown());
    exchange.responseBytes = serializeResponse(response, !exchange.closesConnection, headRequest);
    // A completed response is delivered even if the buffer budget has to drop other messages for it.
    (void)exchange.reservation.set(exchange.responseBytes.size());
    exchange.responseReady = true;
    writeResponses();
}

void CallerSession::writeResponses()
{
    if (std::exchange(m_writingResponses, true)) {
        return;
    }
    while (!m_exchanges.empty() && m_exchanges.front()->responseReady && m_connection.socket().isOpen()) {
        const auto exchange = m_exchanges.front();
        const auto sent = m_connection.socket().writeAll(exchange->responseBytes, m_environment.loop.clock().now() + ResponseWriteTimeout);
        if (!sent) {
            m_connection.socket().reset();
            cancelExchanges();
            break;
        }
        m_exchanges.pop_front();
        if (exchange->closesConnection) {
            // Requests pipelined after this one are treated as not received.
            m_lastResponseSent = true;
            cancelExchanges();
            m_connection.socket().finishWriting();
            m_environment.loop.schedule(m_environment.loop.now() + LingerTimeout, [self = shared_from_this()] {
                self->m_connection.socket().close();
            });
            break;
        }
        m_exchangesChanged.wake();
    }
    m_writingResponses = false;
}

void CallerSession::cancelExchanges()
{
    m_readingEnded = true;
    for (const auto &it : m_exchanges) {
        it->pending.cancel();
    }
    m_exchangesChanged.wake();
}

} // namespace Pimentohollow
