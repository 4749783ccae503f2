#include "async/net/httpconnection.h"

#include "http/reading/bodyreader.h"
#include "http/reading/messagehead.h"
#include "http/reading/responsehead.h"
#include "http/rules/hopbyhop.h"

#include <charconv>

namespace Pimentohollow
{

namespace
{

constexpr std::size_t MaximumHeadBytes = std::size_t{ 64 } * 1024;
constexpr std::uint16_t NoContent = 204;
constexpr std::uint16_t NotModified = 304;

class AsyncSource : public ByteSource
{
public:
    explicit AsyncSource(AsyncSocket &socket)
        : m_socket(socket)
    {
    }

    ReadResult<std::size_t> read(std::span<char> buffer, TimePoint deadline) override
    {
        return m_socket.read(buffer, deadline);
    }

    TimePoint now() const override
    {
        return m_socket.loop().clock().now();
    }

private:
    AsyncSocket &m_socket;
};

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

} // namespace

HttpConnection::HttpConnection(std::unique_ptr<AsyncSocket> socket)
    : m_socket(std::move(socket))
    , m_stream(std::make_unique<AsyncSource>(*m_socket))
{
}

ReadResult<ReceivedResponse>
HttpConnection::readResponse(bool headRequest, std::size_t maximumBodyBytes, bool untilClose, TimePoint deadline)
{
    m_stream.startMessage();
    auto head = readFinalResponseHead(m_stream, MaximumHeadBytes, deadline);
    if (!head) {
        return tl::unexpected(head.error());
    }
    const auto framing = bodyFraming(head->headers, head->minorVersion);
    if (!framing) {
        return tl::unexpected(ReadError::Malformed);
    }
    const bool noBody = headRequest || head->status == NoContent || head->status == NotModified;
    const bool endsWithConnection = !noBody && framing->kind == BodyFraming::Kind::None;
    if (endsWithConnection && !untilClose) {
        return tl::unexpected(ReadError::Malformed);
    }
    auto body = endsWithConnection ? readUntilClose(maximumBodyBytes, deadline)
                                   : readBody(m_stream, noBody ? BodyFraming{} : *framing, maximumBodyBytes, deadline);
    if (!body) {
        return tl::unexpected(body.error());
    }
    ReceivedResponse response;
    const bool closes = endsWithConnection || head->minorVersion == 0 || headerHasToken(head->headers, "Connection", "close");
    response.reusable = !closes && !m_stream.hasBufferedData();
    response.idleLimit = idleLimitOf(head->headers);
    removeHopByHopHeaders(head->headers);
    response.message = { head->status, std::move(head->reason), std::move(head->headers), std::move(*body) };
    m_stream.startMessage();
    return response;
}

bool HttpConnection::isIdle()
{
    if (!m_socket->isOpen() || m_socket->closedByPeer() || m_socket->hasFailed() || m_stream.hasBufferedData()) {
        return false;
    }
    return !m_socket->hasPendingBytes();
}

ReadResult<std::string> HttpConnection::readUntilClose(std::size_t maximumBodyBytes, TimePoint deadline)
{
    std::string body;
    while (true) {
        const auto more = m_stream.waitForData(deadline);
        if (!more) {
            if (more.error() != ReadError::Closed) {
                return tl::unexpected(more.error());
            }
            if (const auto delivered = m_socket->waitUntilDelivered(deadline); !delivered) {
                return tl::unexpected(delivered.error());
            }
            return body;
        }
        if (body.size() >= maximumBodyBytes) {
            return tl::unexpected(ReadError::TooLarge);
        }
        m_stream.appendBuffered(body);
    }
}

void HttpConnection::countIn(BufferBudget &account)
{
    m_stream.setBufferBudget(account, [this] {
        m_socket->close();
    });
}

} // namespace Pimentohollow
