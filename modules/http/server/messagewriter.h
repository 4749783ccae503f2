#pragma once

#include "messages/call/httpmessages.h"

#include <Poco/Net/StreamSocket.h>
#include <string>

namespace Pimentohollow
{

/** Serializes a response, with Content-Length wherever a body is allowed, so that the client can find its end. */
std::string serializeResponse(const HttpResponseMessage &response, bool keepAlive, bool headRequest);

/**
 * Serializes a request, with Content-Length if it has a body; POST, PUT and PATCH get Content-Length also with an empty body.
 * @param host value of the Host header, if the request has none
 */
std::string serializeRequest(const HttpRequestMessage &request, const std::string &host);

/** Sends all bytes; false if the connection failed or the send timeout of the socket expired. */
bool sendAll(Poco::Net::StreamSocket &socket, const std::string &bytes);

} // namespace Pimentohollow
