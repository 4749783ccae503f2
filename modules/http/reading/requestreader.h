#pragma once

#include "http/reading/bytestream.h"
#include "http/reading/messagehead.h"

#include <functional>

namespace Pimentohollow
{

/** Limits on the size of a request and on the time to receive it. */
struct RequestLimits {
    std::size_t maximumHeadBytes = std::size_t{ 32 } * 1024;
    std::size_t maximumBodyBytes = std::size_t{ 1024 } * 1024;
    /** Measured from the first byte of the request. */
    Duration headTimeout = std::chrono::seconds(5);
    /** Measured from the end of the head. */
    Duration bodyTimeout = std::chrono::seconds(30);
};

/** Why a request could not be read; the connection is closed afterwards. */
struct RequestError {
    /** HTTP status of the response; 0 if the caller closed the connection and gets none. */
    std::uint16_t status = 0;
    std::string detail;
};

struct ReceivedRequest {
    HttpRequestMessage message;
    /** The connection stays open for further requests. */
    bool keepAlive = true;
};

/** Reads requests strictly: a request that parsers could interpret differently is rejected. */
class RequestReader
{
public:
    /** @param sendContinue sends "100 Continue" if the caller expects it before it sends the body */
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
