#include "async/net/httpconnection.h"

namespace Pimentohollow
{

namespace
{

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
    ResponseLimits limits;
    limits.maximumBodyBytes = maximumBodyBytes;
    limits.untilClose = untilClose;
    auto response = Pimentohollow::readResponse(m_stream, headRequest, limits, deadline);
    if (!response) {
        return response;
    }
    if (response->endedWithConnection) {
        if (const auto delivered = m_socket->waitUntilDelivered(deadline); !delivered) {
            return tl::unexpected(delivered.error());
        }
    }
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

void HttpConnection::countIn(BufferBudget &account)
{
    m_stream.setBufferBudget(account, [this] {
        m_socket->close();
    });
}

} // namespace Pimentohollow
