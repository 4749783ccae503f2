#include "support/testclient.h"

#include <array>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

namespace Pimentohollow::Testing
{

namespace
{

constexpr int TimeoutSeconds = 20;

} // namespace

TestClient::TestClient(int port)
    : m_session("127.0.0.1", static_cast<Poco::UInt16>(port))
{
    m_session.setKeepAlive(true);
    m_session.setTimeout({ TimeoutSeconds, 0 });
}

HttpResponseMessage TestClient::send(const HttpRequestMessage &request)
{
    Poco::Net::HTTPRequest message(request.method, request.target, Poco::Net::HTTPRequest::HTTP_1_1);
    for (const auto &it : request.headers) {
        message.add(it.name, it.value);
    }
    if (!request.body.empty() || request.method == "POST") {
        message.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    }
    m_session.sendRequest(message) << request.body << std::flush;
    Poco::Net::HTTPResponse response;
    auto &stream = m_session.receiveResponse(response);
    HttpResponseMessage result{ static_cast<std::uint16_t>(response.getStatus()), response.getReason(), {}, {} };
    Poco::StreamCopier::copyToString(stream, result.body);
    for (const auto &[name, value] : response) {
        result.headers.push_back({ name, value });
    }
    return result;
}

HttpResponseMessage TestClient::get(const std::string &target, const HttpHeaders &headers)
{
    return send({ "GET", target, headers, "" });
}

HttpResponseMessage TestClient::post(const std::string &target, const std::string &body, const HttpHeaders &headers)
{
    return send({ "POST", target, headers, body });
}

std::string rawExchange(int port, const std::string &bytes)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(port)));
    socket.setReceiveTimeout({ TimeoutSeconds, 0 });
    std::string received;
    try {
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        std::array<char, 4096> buffer{};
        for (int count = 1; count > 0;) {
            count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            received.append(buffer.data(), static_cast<std::size_t>(std::max(count, 0)));
        }
    } catch (const Poco::Exception &ex) {
        received += "[" + ex.displayText() + "]";
    }
    return received;
}

} // namespace Pimentohollow::Testing
