#pragma once

#include "async/net/asynclistener.h"
#include "async/net/httpconnection.h"
#include "messages/call/httpmessages.h"

namespace Pimentohollow
{

/** Small HTTP server for announcements, readiness and metrics: one request at a time on a connection, a fiber for each connection. */
class HttpServer
{
public:
    using Handler = std::function<HttpResponseMessage(const HttpRequestMessage &)>;

    HttpServer(EventLoop &loop, Handler handler);

    /** Errors: Unavailable if the address can't be bound. */
    Result<void> listen(const IpEndpoint &address);
    void close();

    std::uint16_t port() const
    {
        return m_listener.port();
    }

private:
    void serve(HttpConnection &connection);

    EventLoop &m_loop;
    Handler m_handler;
    AsyncListener m_listener;
};

/** An answer with a status and a short body of plain text. */
HttpResponseMessage textResponse(std::uint16_t status, std::string text = {});

} // namespace Pimentohollow
