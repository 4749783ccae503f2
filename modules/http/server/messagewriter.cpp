#include "http/server/messagewriter.h"

#include "http/rules/problemresponse.h"

#include <fmt/format.h>
#include <Poco/Exception.h>

namespace Pimentohollow
{

namespace
{

bool statusAllowsBody(std::uint16_t status)
{
    return status >= 200 && status != 204 && status != 304;
}

void appendHeaders(std::string &out, const HttpHeaders &headers)
{
    for (const auto &it : headers) {
        out += it.name;
        out += ": ";
        out += it.value;
        out += "\r\n";
    }
}

} // namespace

std::string serializeResponse(const HttpResponseMessage &response, bool keepAlive, bool headRequest)
{
    const std::string reason = response.reason.empty() ? reasonPhrase(response.status) : response.reason;
    std::string out = fmt::format("HTTP/1.1 {} {}\r\n", response.status, reason);
    appendHeaders(out, response.headers);
    // The response to HEAD has the length of the body that GET would return, if the upstream sent one.
    const bool lengthKnown = findHeader(response.headers, "Content-Length") != nullptr;
    if (statusAllowsBody(response.status) && !lengthKnown && !(headRequest && response.body.empty())) {
        out += fmt::format("Content-Length: {}\r\n", response.body.size());
    }
    out += keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
    if (!headRequest && statusAllowsBody(response.status)) {
        out += response.body;
    }
    return out;
}

std::string serializeRequest(const HttpRequestMessage &request, const std::string &host)
{
    std::string out = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
    if (findHeader(request.headers, "Host") == nullptr) {
        out += "Host: " + host + "\r\n";
    }
    appendHeaders(out, request.headers);
    const bool bodyExpected = request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    if (bodyExpected || !request.body.empty()) {
        out += fmt::format("Content-Length: {}\r\n", request.body.size());
    }
    out += "\r\n";
    out += request.body;
    return out;
}

bool sendAll(Poco::Net::StreamSocket &socket, const std::string &bytes)
{
    try {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const int count = socket.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent));
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    } catch (const Poco::Exception &) {
        return false;
    }
}

} // namespace Pimentohollow
