#pragma once

#include "async/net/asyncsocket.h"
#include "http/reading/responsereader.h"

namespace Pimentohollow
{

/** One connection of HTTP/1.1, for either side. */
class HttpConnection
{
public:
    explicit HttpConnection(std::unique_ptr<AsyncSocket> socket);

    /**
     * Reads one whole answer.
     * @param untilClose accept an answer without length that ends with an orderly end of the connection, once the other side has
     * acknowledged the whole request
     */
    ReadResult<ReceivedResponse> readResponse(bool headRequest, std::size_t maximumBodyBytes, bool untilClose, TimePoint deadline);

    /** Counts the bytes of answers while they are read; the connection is closed when there is no room. */
    void countIn(BufferBudget &account);

    /** True if an idle connection may be used: no bytes and no end of the stream are waiting. */
    bool isIdle();

    AsyncSocket &socket()
    {
        return *m_socket;
    }

    ByteStream &stream()
    {
        return m_stream;
    }

private:
    std::unique_ptr<AsyncSocket> m_socket;
    ByteStream m_stream;
};

} // namespace Pimentohollow
