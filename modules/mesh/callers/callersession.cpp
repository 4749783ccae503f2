#include "mesh/callers/callersession.h"

#include "core/logger.h"
#include "http/server/messagewriter.h"

#include <array>
#include <utility>

namespace Pimentohollow
{

namespace
{

/** Requests of one connection that are served at the same time. */
constexpr std::size_t MostExchanges = 16;
/** Time for a caller to take an answer; bounds the memory that a slow one holds. */
constexpr std::chrono::seconds SendTime(10);
/** Wait for a caller to close its direction after the last answer. */
constexpr std::chrono::seconds LingerTime(1);
/** Time for the first request of a new connection: a caller that connects has one to send. */
constexpr std::chrono::milliseconds FirstRequestTime(300);
constexpr std::uint16_t ServiceUnavailable = 503;
/** When a caller comes back whose request found no room: most messages that fill it have ended by their deadlines then. */
constexpr std::chrono::seconds NoRoomReturn(1);
const Logger Log("callers");

RequestLimits limitsOf(const CallerBounds &bounds)
{
    RequestLimits limits;
    limits.maximumHeadBytes = bounds.headBytes;
    limits.maximumBodyBytes = bounds.bodyBytes;
    limits.headTimeout = std::chrono::milliseconds(bounds.headMilliseconds);
    return limits;
}

/** Requests that may be served beside others of their connection. */
bool mayOverlap(const std::string &method)
{
    return method == "GET" || method == "HEAD";
}

} // namespace

CallerSession::CallerSession(std::unique_ptr<AsyncSocket> socket, const Environment &environment)
    : m_environment(environment)
    , m_connection(std::move(socket))
    , m_roomForMore(environment.loop)
    , m_openedAt(environment.loop.now())
{
}

void CallerSession::start()
{
    // The socket belongs to this object, so the callback never outlives it.
    m_connection.socket().onClosedByPeer([this] {
        cancelAll();
    });
    m_connection.stream().setBufferBudget(m_environment.held, [this] {
        m_connection.socket().interruptRead();
    });
    m_environment.loop.spawn([self = shared_from_this()] {
        self->read();
    });
}

void CallerSession::read()
{
    while (!m_ended && m_connection.socket().isOpen()) {
        const auto idle = std::chrono::milliseconds(m_environment.bounds().idleMilliseconds);
        const auto ready = m_connection.stream().waitForData(m_environment.loop.clock().now() + idle);
        if (!ready && ready.error() == ReadError::Timeout && !m_exchanges.empty()) {
            continue;
        }
        m_receiving = true;
        m_used = true;
        const bool more = ready && !m_ended && readRequest();
        m_receiving = false;
        if (!more) {
            break;
        }
        while (!m_ended && m_exchanges.size() >= MostExchanges) {
            m_roomForMore.wait(TimePoint::max());
        }
    }
    while (!m_ended && !m_exchanges.empty()) {
        m_roomForMore.wait(TimePoint::max());
    }
    if (m_finished) {
        // Closing before the caller has ended its direction would reset the connection and could destroy the last answer.
        const TimePoint deadline = m_environment.loop.clock().now() + LingerTime;
        std::array<char, 512> ignored{};
        while (m_connection.socket().read(ignored, deadline)) {
        }
    }
    m_connection.socket().close();
    m_environment.ended(this);
}

void CallerSession::closeWhenIdle()
{
    const bool expected = !m_used && m_environment.loop.now() - m_openedAt < FirstRequestTime;
    if (!m_exchanges.empty() || m_receiving || expected || m_connection.socket().hasUnreadBytes()) {
        return;
    }
    m_ended = true;
    m_connection.socket().close();
}

void CallerSession::abort()
{
    cancelAll();
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
        fail(received.error());
        return false;
    }
    m_connection.stream().startMessage();
    const bool exclusive = !mayOverlap(received->message.method);
    while (exclusive && !m_ended && !m_exchanges.empty()) {
        m_roomForMore.wait(TimePoint::max());
    }
    if (m_ended) {
        return false;
    }
    auto exchange = std::make_shared<Exchange>(m_environment.loop, m_environment.held);
    if (!exchange->lease.set(received->message.body.size())) {
        fail({ ServiceUnavailable, std::string(ReadErrorNames.name(ReadError::OverBudget)) });
        return false;
    }
    m_exchanges.push_back(exchange);
    const bool keepAlive = received->keepAlive;
    m_environment.loop.spawn([self = shared_from_this(), exchange, request = std::move(received->message), keepAlive]() mutable {
        self->serve(exchange, std::move(request), keepAlive);
    });
    while (exclusive && !m_ended && !m_exchanges.empty()) {
        m_roomForMore.wait(TimePoint::max());
    }
    return keepAlive && !m_ended;
}

void CallerSession::serve(const std::shared_ptr<Exchange> &exchange, HttpRequestMessage &&request, bool keepAlive)
{
    const bool headRequest = request.method == "HEAD";
    const auto response = m_environment.serve(std::move(request), exchange->pending);
    complete(*exchange, response, keepAlive, headRequest);
}

void CallerSession::fail(const RequestError &fault)
{
    if (fault.status == 0) {
        return;
    }
    Log.info("request_unreadable", { { "status", std::to_string(fault.status) }, { "detail", fault.detail } });
    auto exchange = std::make_shared<Exchange>(m_environment.loop, m_environment.held);
    m_exchanges.push_back(exchange);
    HttpResponseMessage response;
    response.status = fault.status;
    if (fault.status == ServiceUnavailable) {
        response.headers.push_back({ "Retry-After", std::to_string(NoRoomReturn.count()) });
    }
    response.body = fault.detail;
    complete(*exchange, response, false, false);
}

void CallerSession::complete(Exchange &exchange, const HttpResponseMessage &response, bool keepAlive, bool headRequest)
{
    exchange.closes = !keepAlive || m_environment.closing();
    exchange.bytes = serializeResponse(response, !exchange.closes, headRequest);
    // An answer that is ready is delivered, also when others have to make room for it.
    (void)exchange.lease.set(exchange.bytes.size());
    exchange.answered = true;
    writeAnswers();
}

void CallerSession::writeAnswers()
{
    if (std::exchange(m_writing, true)) {
        return;
    }
    while (!m_exchanges.empty() && m_exchanges.front()->answered && m_connection.socket().isOpen()) {
        const auto exchange = m_exchanges.front();
        const auto sent = m_connection.socket().writeAll(exchange->bytes, m_environment.loop.clock().now() + SendTime);
        if (!sent) {
            m_connection.socket().reset();
            cancelAll();
            break;
        }
        m_exchanges.pop_front();
        if (exchange->closes) {
            // What was sent behind this request counts as not read.
            m_finished = true;
            cancelAll();
            m_connection.socket().finishWriting();
            m_environment.loop.schedule(m_environment.loop.now() + LingerTime, [self = shared_from_this()] {
                self->m_connection.socket().close();
            });
            break;
        }
        m_roomForMore.wake();
    }
    m_writing = false;
}

void CallerSession::cancelAll()
{
    m_ended = true;
    for (const auto &it : m_exchanges) {
        it->pending.cancel();
    }
    m_roomForMore.wake();
}

} // namespace Pimentohollow
