#pragma once

#include "messages/call/httpmessages.h"

#include <optional>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/StreamSocket.h>
#include <string>

namespace Pimentohollow::Testing
{

/** Caller for tests: a keep-alive connection to 127.0.0.1, through POCO's client, which is independent of the module http. */
class TestClient
{
public:
    explicit TestClient(int port);

    /** Sends a request and reads the answer; throws Poco::Exception on failure. */
    HttpResponseMessage send(const HttpRequestMessage &request);
    HttpResponseMessage get(const std::string &target, const HttpHeaders &headers = {});
    HttpResponseMessage post(const std::string &target, const std::string &body, const HttpHeaders &headers = {});

private:
    Poco::Net::HTTPClientSession m_session;
};

/** Sends raw bytes and returns all bytes received until the other side closes. */
std::string rawExchange(int port, const std::string &bytes);

} // namespace Pimentohollow::Testing
