#include "http/upstream/upstreamexchange.h"

#include "http/server/messagewriter.h"

namespace Pimentohollow
{

ReadResult<ReceivedResponse> exchange(Poco::Net::StreamSocket &socket,
                                      const HttpRequestMessage &request,
                                      const UpstreamLimits &limits,
                                      const std::string &host,
                                      TimePoint deadline)
{
    if (!sendAll(socket, serializeRequest(request, host))) {
        return tl::unexpected(ReadError::Failed);
    }
    ByteStream stream(socket);
    return readResponse(stream, request.method == "HEAD", { limits.maximumHeadBytes, limits.maximumBodyBytes, false }, deadline);
}

} // namespace Pimentohollow
