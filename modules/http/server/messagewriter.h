#pragma once

#include "messages/call/httpmessages.h"

#include <Poco/Net/StreamSocket.h>
#include <string>

namespace Pimentohollow
{

/** The bytes of an answer, always with Content-Length where a body is allowed, so that its end is certain. */
std::string serializeResponse(const HttpResponseMessage &response, bool keepAlive, bool headRequest);

/** The bytes of a request with Content-Length. @param host value of the Host header, if the request has none */
std::string serializeRequest(const HttpRequestMessage &request, const std::string &host);

/** Sends all bytes; false if the connection failed or the socket's send time limit passed. */
bool sendAll(Poco::Net::StreamSocket &socket, const std::string &bytes);

} // namespace Pimentohollow
