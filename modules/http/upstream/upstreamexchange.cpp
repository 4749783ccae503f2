#include "http/upstream/upstreamexchange.h"

#include "http/reading/bodyreader.h"
#include "http/reading/responsehead.h"
#include "http/rules/hopbyhop.h"
#include "http/server/messagewriter.h"

namespace Pimentohollow
{

namespace
{

/** False if the body has neither Content-Length nor chunked coding: only the end of the connection, which may be a crash, then ends it. */
bool hasDefiniteLength(const BodyFraming &framing, const ResponseHead &head, bool noBody)
{
    return noBody || framing.kind != BodyFraming::Kind::None || findHeader(head.headers, "Content-Length") != nullptr;
}

} // namespace

ReadResult<UpstreamResponse> exchange(Poco::Net::StreamSocket &socket,
                                      const HttpRequestMessage &request,
                                      const UpstreamLimits &limits,
                                      const std::string &host,
                                      TimePoint deadline)
{
    if (!sendAll(socket, serializeRequest(request, host))) {
        return tl::unexpected(ReadError::Truncated);
    }
    ByteStream stream(socket);
    auto head = readFinalResponseHead(stream, limits.maximumHeadBytes, deadline);
    if (!head) {
        return tl::unexpected(head.error());
    }
    const bool headRequest = request.method == "HEAD";
    const bool noBody = headRequest || head->status == 204 || head->status == 304;
    const auto framing = bodyFraming(head->headers, head->minorVersion);
    if (!framing || !hasDefiniteLength(*framing, *head, noBody)) {
        return tl::unexpected(ReadError::Malformed);
    }
    auto body = readBody(stream, noBody ? BodyFraming{} : *framing, limits.maximumBodyBytes, deadline);
    if (!body) {
        return tl::unexpected(body.error());
    }
    const bool closesConnection = head->minorVersion == 0 || headerHasToken(head->headers, "Connection", "close");
    const std::string *length = findHeader(head->headers, "Content-Length");
    const std::string announcedLength = headRequest && length != nullptr ? *length : "";
    removeHopByHopHeaders(head->headers);
    if (!announcedLength.empty()) {
        head->headers.push_back({ "Content-Length", announcedLength });
    }
    return UpstreamResponse{ { head->status, std::move(head->reason), std::move(head->headers), std::move(*body) },
                             !closesConnection && !stream.hasBufferedData() };
}

} // namespace Pimentohollow
