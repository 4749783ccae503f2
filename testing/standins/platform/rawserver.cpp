#include "standins/platform/rawserver.h"

#include <fmt/format.h>
#include <Poco/Exception.h>

namespace Pimentohollow
{

namespace
{

constexpr int PollMicroseconds = 10000;

/** Requests arrive in at most two parts, headers and body; reading both keeps the connection from being reset. */
bool isWhole(const std::string &request)
{
    const bool hasHeaders = request.find("\r\n\r\n") != std::string::npos;
    return hasHeaders && (request.starts_with("GET ") || !request.ends_with("\r\n\r\n"));
}

} // namespace

RawServer::RawServer(std::string answer, Ending ending)
    : m_answer(std::move(answer))
    , m_ending(ending)
    , m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
    , m_thread([this] {
        serve();
    })
{
}

RawServer::~RawServer()
{
    m_stop = true;
    m_thread.join();
}

std::string RawServer::url() const
{
    return fmt::format("http://127.0.0.1:{}", m_socket.address().port());
}

void RawServer::serve()
{
    while (!m_stop) {
        if (m_socket.poll(Poco::Timespan(0, PollMicroseconds), Poco::Net::Socket::SELECT_READ)) {
            Poco::Net::StreamSocket connection = m_socket.acceptConnection();
            answer(connection);
        }
    }
}

void RawServer::answer(Poco::Net::StreamSocket &connection) const
{
    try {
        char buf[16384];
        std::string request;
        while (!isWhole(request)) {
            const int length = connection.receiveBytes(buf, sizeof(buf));
            if (length <= 0) {
                return;
            }
            request.append(buf, static_cast<std::size_t>(length));
        }
        connection.sendBytes(m_answer.data(), static_cast<int>(m_answer.size()));
        if (m_ending == Ending::Reset) {
            connection.setLinger(true, 0);
            connection.close();
        } else {
            connection.shutdownSend();
        }
    } catch (const Poco::Exception &) {
        // The client closed first, which some cases provoke.
        return;
    }
}

} // namespace Pimentohollow
