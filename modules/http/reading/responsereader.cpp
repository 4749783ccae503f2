#include "http/reading/responsereader.h"

#include "http/reading/bodyreader.h"
#include "http/rules/hopbyhop.h"

#include <charconv>

namespace Pimentohollow
{

namespace
{

constexpr int MaximumInterimResponses = 8;
constexpr std::uint16_t SwitchingProtocols = 101;
constexpr std::uint16_t FirstFinalStatus = 200;
constexpr std::uint16_t NoContent = 204;
constexpr std::uint16_t NotModified = 304;

ReadResult<ResponseHead> readFinalHead(ByteStream &stream, std::size_t maximumBytes, TimePoint deadline)
{
    for (int n = 0; n <= MaximumInterimResponses; ++n) {
        const auto text = stream.readHead(maximumBytes, deadline);
        if (!text) {
            return tl::unexpected(text.error());
        }
        auto head = parseResponseHead(*text);
        // No request asks for another protocol; what follows such a head isn't HTTP.
        if (!head || head->status == SwitchingProtocols) {
            return tl::unexpected(ReadError::Malformed);
        }
        if (head->status >= FirstFinalStatus) {
            return std::move(*head);
        }
    }
    return tl::unexpected(ReadError::Malformed);
}

ReadResult<std::string> readUntilClose(ByteStream &stream, std::size_t maximumBytes, TimePoint deadline)
{
    std::string body;
    while (true) {
        const auto more = stream.waitForData(deadline);
        if (!more) {
            if (more.error() == ReadError::Closed) {
                return body;
            }
            return tl::unexpected(more.error());
        }
        if (body.size() >= maximumBytes) {
            return tl::unexpected(ReadError::TooLarge);
        }
        stream.appendBuffered(body);
    }
}

/** The seconds of "Keep-Alive: timeout=5". */
std::optional<Duration> idleLimitOf(const HttpHeaders &headers)
{
    constexpr std::string_view Parameter = "timeout=";
    const auto *value = findHeader(headers, "Keep-Alive");
    const auto start = value == nullptr ? std::string::npos : value->find(Parameter);
    if (start == std::string::npos) {
        return std::nullopt;
    }
    unsigned seconds = 0;
    const char *first = value->data() + start + Parameter.size();
    if (std::from_chars(first, value->data() + value->size(), seconds).ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

void removeConnectionHeaders(HttpHeaders &headers, bool headRequest)
{
    const auto *length = headRequest ? findHeader(headers, "Content-Length") : nullptr;
    const std::string announcedLength = length == nullptr ? std::string() : *length;
    removeHopByHopHeaders(headers);
    if (!announcedLength.empty()) {
        headers.push_back({ "Content-Length", announcedLength });
    }
}

} // namespace

ReadResult<ReceivedResponse> readResponse(ByteStream &stream, bool headRequest, const ResponseLimits &limits, TimePoint deadline)
{
    auto head = readFinalHead(stream, limits.maximumHeadBytes, deadline);
    if (!head) {
        return tl::unexpected(head.error());
    }
    const auto framing = bodyFraming(head->headers, head->minorVersion);
    if (!framing) {
        return tl::unexpected(ReadError::Malformed);
    }
    const bool noBody = headRequest || head->status == NoContent || head->status == NotModified;
    ReceivedResponse response;
    response.endedWithConnection = !noBody && framing->kind == BodyFraming::Kind::None;
    if (response.endedWithConnection && !limits.untilClose) {
        return tl::unexpected(ReadError::Malformed);
    }
    auto body = response.endedWithConnection ? readUntilClose(stream, limits.maximumBodyBytes, deadline)
                                             : readBody(stream, noBody ? BodyFraming{} : *framing, limits.maximumBodyBytes, deadline);
    if (!body) {
        return tl::unexpected(body.error());
    }
    const bool closes = response.endedWithConnection || head->minorVersion == 0 || headerHasToken(head->headers, "Connection", "close");
    response.reusable = !closes && !stream.hasBufferedData();
    response.idleLimit = idleLimitOf(head->headers);
    removeConnectionHeaders(head->headers, headRequest);
    response.message = { head->status, std::move(head->reason), std::move(head->headers), std::move(*body) };
    return response;
}

} // namespace Pimentohollow
