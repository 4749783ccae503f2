#pragma once

#include "http/reading/bytestream.h"
#include "http/reading/messagehead.h"

#include <functional>

namespace Pimentohollow
{

/** Bounds on what a caller may send, and on how slowly. */
struct RequestLimits {
    std::size_t maximumHeadBytes = std::size_t{ 32 } * 1024;
    std::size_t maximumBodyBytes = std::size_t{ 1024 } * 1024;
    /** Counted from the first byte of the request. */
    Duration headTimeout = std::chrono::seconds(5);
    /** Counted from the end of the head. */
    Duration bodyTimeout = std::chrono::seconds(30);
};

/** Why a request can't be served; the connection is closed afterwards. */
struct RequestError {
    /** 0 if the caller closed the connection and gets no answer. */
    std::uint16_t status = 0;
    std::string detail;
};

struct ReceivedRequest {
    HttpRequestMessage message;
    /** The caller accepts further answers on this connection. */
    bool keepAlive = true;
};

/** Reads one request, strictly: a request that two parsers could read in two ways is refused. */
class RequestReader
{
public:
    /** @param sendContinue sends "100 Continue" when the caller waits for it before the body */
    RequestReader(ByteStream &stream, const RequestLimits &limits, std::function<void()> sendContinue);

    /** Reads the next request, whose first byte must be available. */
    tl::expected<ReceivedRequest, RequestError> read();

private:
    tl::expected<RequestHead, RequestError> readHead();
    tl::expected<std::string, RequestError> readRequestBody(const RequestHead &head);

    ByteStream &m_stream;
    const RequestLimits &m_limits;
    std::function<void()> m_sendContinue;
};

} // namespace Pimentohollow
