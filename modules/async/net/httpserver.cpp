#include "async/net/httpserver.h"

#include "async/net/httpconnection.h"
#include "http/reading/requestreader.h"
#include "http/server/messagewriter.h"

namespace Pimentohollow
{

namespace
{

/** Idle time after which a connection is closed. */
constexpr std::chrono::seconds IdleTime(60);
constexpr std::chrono::seconds SendTime(5);

} // namespace

HttpServer::HttpServer(EventLoop &loop, Handler handler)
    : m_loop(loop)
    , m_handler(std::move(handler))
    , m_listener(loop, [this](std::unique_ptr<AsyncSocket> socket) {
        m_loop.spawn([this, shared = std::make_shared<HttpConnection>(std::move(socket))] {
            serve(*shared);
        });
    })
{
}

Result<void> HttpServer::listen(const IpEndpoint &address)
{
    return m_listener.listen(address);
}

void HttpServer::close()
{
    m_listener.close();
}

void HttpServer::serve(HttpConnection &connection)
{
    const RequestLimits limits;
    while (connection.stream().waitForData(m_loop.clock().now() + IdleTime)) {
        RequestReader reader(connection.stream(), limits, [] {});
        const auto request = reader.read();
        if (!request && request.error().status == 0) {
            return;
        }
        const auto response = request ? m_handler(request->message) : textResponse(request.error().status, request.error().detail);
        const bool keepAlive = request && request->keepAlive;
        const bool headRequest = request && request->message.method == "HEAD";
        const auto sent =
            connection.socket().writeAll(serializeResponse(response, keepAlive, headRequest), m_loop.clock().now() + SendTime);
        if (!sent || !keepAlive) {
            return;
        }
    }
}

HttpResponseMessage textResponse(std::uint16_t status, std::string text)
{
    HttpResponseMessage response;
    response.status = status;
    response.headers.push_back({ "Content-Type", "text/plain" });
    response.body = std::move(text);
    return response;
}

} // namespace Pimentohollow
