#pragma once

#include "async/net/asyncsocket.h"
#include "http/reading/bytestream.h"
#include "messages/call/httpmessages.h"

namespace Pimentohollow
{

/** A whole answer and what follows from it for its connection. */
struct ReceivedResponse {
    /** Without the headers that concern only the connection. */
    HttpResponseMessage message;
    /** The connection may carry another request. */
    bool reusable = false;
    /** How long the other side keeps the connection idle, if it says so. */
    std::optional<Duration> idleLimit;
};

/** One connection of HTTP/1.1, for either side. */
class HttpConnection
{
public:
    explicit HttpConnection(std::unique_ptr<AsyncSocket> socket);

    /**
     * Reads one answer, complete by its framing. Interim answers (1xx) are dropped.
     * @param untilClose accept an answer without length that ends with an orderly end of the connection
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
    ReadResult<std::string> readUntilClose(std::size_t maximumBodyBytes, TimePoint deadline);

    std::unique_ptr<AsyncSocket> m_socket;
    ByteStream m_stream;
};

} // namespace Pimentohollow
