#include "http/reading/requestreader.h"

#include "http/reading/bodyreader.h"

namespace Pimentohollow
{

namespace
{

constexpr std::uint16_t BadRequest = 400;
constexpr std::uint16_t RequestTimeout = 408;
constexpr std::uint16_t ContentTooLarge = 413;
constexpr std::uint16_t ExpectationFailed = 417;
constexpr std::uint16_t HeadersTooLarge = 431;
constexpr std::uint16_t ServiceUnavailable = 503;

RequestError requestErrorFor(ReadError error, std::string_view part, std::uint16_t tooLargeStatus)
{
    std::string detail = std::string(part) + ": " + std::string(ReadErrorNames.name(error));
    switch (error) {
    case ReadError::Closed:
    case ReadError::Truncated:
    case ReadError::Failed:
        return { 0, std::move(detail) };
    case ReadError::Timeout:
        return { RequestTimeout, std::move(detail) };
    case ReadError::TooLarge:
        return { tooLargeStatus, std::move(detail) };
    case ReadError::OverBudget:
        return { ServiceUnavailable, std::move(detail) };
    case ReadError::Malformed:
        break;
    }
    return { BadRequest, std::move(detail) };
}

bool wantsKeepAlive(const RequestHead &head)
{
    if (headerHasToken(head.headers, "Connection", "close")) {
        return false;
    }
    return head.minorVersion == 1 || headerHasToken(head.headers, "Connection", "keep-alive");
}

} // namespace

RequestReader::RequestReader(ByteStream &stream, const RequestLimits &limits, std::function<void()> sendContinue)
    : m_stream(stream)
    , m_limits(limits)
    , m_sendContinue(std::move(sendContinue))
{
}

tl::expected<ReceivedRequest, RequestError> RequestReader::read()
{
    auto head = readHead();
    if (!head) {
        return tl::unexpected(head.error());
    }
    auto body = readRequestBody(*head);
    if (!body) {
        return tl::unexpected(body.error());
    }
    const bool keepAlive = wantsKeepAlive(*head);
    return ReceivedRequest{ { std::move(head->method), std::move(head->target), std::move(head->headers), std::move(*body) }, keepAlive };
}

tl::expected<RequestHead, RequestError> RequestReader::readHead()
{
    const auto text = m_stream.readHead(m_limits.maximumHeadBytes, m_stream.now() + m_limits.headTimeout);
    if (!text) {
        return tl::unexpected(requestErrorFor(text.error(), "request head", HeadersTooLarge));
    }
    auto head = parseRequestHead(*text);
    if (!head) {
        return tl::unexpected(RequestError{ BadRequest, head.error() });
    }
    return std::move(*head);
}

tl::expected<std::string, RequestError> RequestReader::readRequestBody(const RequestHead &head)
{
    const auto framing = bodyFraming(head.headers, head.minorVersion);
    if (!framing) {
        return tl::unexpected(RequestError{ BadRequest, framing.error() });
    }
    if (framing->kind == BodyFraming::Kind::Length && framing->length > m_limits.maximumBodyBytes) {
        return tl::unexpected(RequestError{ ContentTooLarge, "the body exceeds the accepted size" });
    }
    if (const auto *expect = findHeader(head.headers, "Expect")) {
        if (!headerNameEquals(*expect, "100-continue")) {
            return tl::unexpected(RequestError{ ExpectationFailed, "unsupported expectation" });
        }
        if (head.minorVersion == 1 && framing->kind != BodyFraming::Kind::None) {
            m_sendContinue();
        }
    }
    auto body = readBody(m_stream, *framing, m_limits.maximumBodyBytes, m_stream.now() + m_limits.bodyTimeout);
    if (!body) {
        return tl::unexpected(requestErrorFor(body.error(), "request body", ContentTooLarge));
    }
    return std::move(*body);
}

} // namespace Pimentohollow
