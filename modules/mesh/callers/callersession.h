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
 * One connection of a caller. Reads ahead, so that requests sent one behind the other are served at the same time, and answers in the order
 * in which they came. A caller that closes the connection cancels what it asked for.
 */
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    struct Environment {
        EventLoop &loop;
        /** Answers a request; runs in a fiber of its own. */
        std::function<HttpResponseMessage(HttpRequestMessage &&, PendingRequest &)> serve;
        /** Bounds in force now. */
        std::function<CallerBounds()> bounds;
        /** Counts requests and answers while they are read, served and written. */
        BufferBudget &held;
        /** The node ends: answers close their connections. */
        std::function<bool()> closing;
        /** The connection has ended. */
        std::function<void(CallerSession *)> ended;
    };

    CallerSession(std::unique_ptr<AsyncSocket> socket, const Environment &environment);

    void start();
    /** Closes the connection if no request is being read, served or expected; otherwise it closes with the answer. */
    void closeWhenIdle();
    /** Resets the connection and cancels what it asked for. */
    void abort();

private:
    struct Exchange {
        PendingRequest pending;
        bool answered = false;
        bool closes = false;
        std::string bytes;
        /** The body of the request, then the answer. */
        BufferBudget::Reservation lease;

        Exchange(EventLoop &loop, BufferBudget &held)
            : pending(loop)
            , lease(held)
        {
        }
    };

    void read();
    bool readRequest();
    void serve(const std::shared_ptr<Exchange> &exchange, HttpRequestMessage &&request, bool keepAlive);
    void fail(const RequestError &fault);
    void complete(Exchange &exchange, const HttpResponseMessage &response, bool keepAlive, bool headRequest);
    void writeAnswers();
    void cancelAll();

    const Environment &m_environment;
    HttpConnection m_connection;
    std::deque<std::shared_ptr<Exchange>> m_exchanges;
    /** Where the reader waits until it may read on. */
    WaitPoint m_roomForMore;
    TimePoint m_openedAt;
    bool m_writing = false;
    /** A request has begun to arrive on this connection, now or earlier. */
    bool m_used = false;
    /** A request has begun to arrive. */
    bool m_receiving = false;
    /** Nothing more is read: the caller has left, or got the last answer. */
    bool m_ended = false;
    /** The last answer was sent. */
    bool m_finished = false;
};

} // namespace Pimentohollow
