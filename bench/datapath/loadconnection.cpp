#include "loadconnection.h"

#include <fmt/format.h>

namespace Pimentohollow::Bench
{

namespace
{

constexpr std::size_t MaximumBytes = std::size_t{ 1024 } * 1024;

Poco::Net::StreamSocket connectTo(int port)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(port)));
    socket.setNoDelay(true);
    return socket;
}

} // namespace

LoadConnection::LoadConnection(int port, const std::string &target, const std::string &headers)
    : m_socket(connectTo(port))
    , m_stream(m_socket)
    , m_request(fmt::format("GET {} HTTP/1.1\r\nHost: bench\r\n{}\r\n", target, headers))
{
}

bool LoadConnection::exchange()
{
    const TimePoint deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    if (!sendAll(m_socket, m_request)) {
        return false;
    }
    const auto response = readResponse(m_stream, false, { MaximumBytes, MaximumBytes, false }, deadline);
    return response && response->message.status == 200;
}

} // namespace Pimentohollow::Bench
