#pragma once

#include "http/reading/responsereader.h"
#include "http/upstream/upstreamclient.h"

namespace Pimentohollow
{

/** Sends one request on an open connection and reads the response. */
ReadResult<ReceivedResponse> exchange(Poco::Net::StreamSocket &socket,
                                      const HttpRequestMessage &request,
                                      const UpstreamLimits &limits,
                                      const std::string &host,
                                      TimePoint deadline);

} // namespace Pimentohollow
