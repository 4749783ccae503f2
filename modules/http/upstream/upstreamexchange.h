#pragma once

#include "http/reading/bytestream.h"
#include "http/upstream/upstreamclient.h"

namespace Pimentohollow
{

struct UpstreamResponse {
    HttpResponseMessage message;
    /** The connection can be used for another request. */
    bool reusable = false;
};

/** Sends one request on an open connection and reads the response. */
ReadResult<UpstreamResponse> exchange(Poco::Net::StreamSocket &socket,
                                      const HttpRequestMessage &request,
                                      const UpstreamLimits &limits,
                                      const std::string &host,
                                      TimePoint deadline);

} // namespace Pimentohollow
