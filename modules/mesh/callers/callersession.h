#pragma once

#include "async/net/httpconnection.h"
#include "http/reading/requestreader.h"
#include "mesh/callers/pendingrequest.h"
#include "mesh/model/trafficrules.h"

#include <deque>
#include <functional>
#include <memory>

namespace Pimentohollow
{

/**
 * A caller's HTTP connection with pipelining: pipelined requests are served concurrently, and responses are written in request order.
 * All pending requests are cancelled when the caller closes the connection.
 */
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    struct Environment {
        EventLoop &loop;
        /** Returns the response to a request; called in a separate fiber for each request. */
        std::function<HttpResponseMessage(HttpRequestMessage &&, PendingRequest &)> serve;
        /** Returns the limits currently in force. */
        std::function<CallerBounds()> bounds;
        /** Accounts for requests and responses while they are read, served and written. */
        BufferBudget &bufferBudget;
        /** Returns true while the node shuts down; responses then close their connections. */
        std::function<bool()> isShuttingDown;
        /** Called once the connection is closed. */
        std::function<void(CallerSession *)> connectionClosed;
    };

    CallerSession(std::unique_ptr<AsyncSocket> socket, const Environment &environment);

    void start();
    /** Closes the connection if no request is being read, served or expected; otherwise the next response closes it. */
    void closeWhenIdle();
    /** Resets the connection and cancels its pending requests. */
    void abort();

private:
    struct Exchange {
        PendingRequest pending;
        bool responseReady = false;
        bool closesConnection = false;
        std::string responseBytes;
        /** Covers the request body, then the serialized response. */
        BufferBudget::Reservation reservation;

        Exchange(EventLoop &loop, BufferBudget &bufferBudget)
            : pending(loop)
            , reservation(bufferBudget)
        {
        }
    };

    void readRequests();
    bool readRequest();
    /** True if the response to the last pending request is ready and closes the connection. */
    bool lastResponseCloses() const;
    bool mayReadNext() const;
    void serve(const std::shared_ptr<Exchange> &exchange, HttpRequestMessage &&request, bool keepAlive);
    void rejectUnreadable(const RequestError &fault);
    void completeExchange(Exchange &exchange, const HttpResponseMessage &response, bool keepAlive, bool headRequest);
    void writeResponses();
    void cancelExchanges();

    const Environment &m_environment;
    HttpConnection m_connection;
    std::deque<std::shared_ptr<Exchange>> m_exchanges;
    /** Woken when the set of pending exchanges shrinks or reading ends. */
    WaitPoint m_exchangesChanged;
    TimePoint m_openedAt;
    bool m_writingResponses = false;
    /** True once any request has begun to arrive on this connection. */
    bool m_requestSeen = false;
    /** True while a request is being received. */
    bool m_receivingRequest = false;
    /** True once no further request is read: the caller disconnected or the last response was sent. */
    bool m_readingEnded = false;
    /** True once the last response was sent. */
    bool m_lastResponseSent = false;
};

} // namespace Pimentohollow
