#pragma once

#include "http/reading/bytestream.h"
#include "http/reading/messagehead.h"

#include <optional>

namespace Pimentohollow
{

/** Sizes of a response that is accepted, and how its body may end. */
struct ResponseLimits {
    std::size_t maximumHeadBytes = std::size_t{ 64 } * 1024;
    std::size_t maximumBodyBytes = std::size_t{ 1024 } * 1024;
    /** Accepts a body with neither a length nor the chunked coding, which ends with an orderly end of the connection. */
    bool untilClose = false;
};

/** A whole response and what follows from it for its connection. */
struct ReceivedResponse {
    /** Without the headers that concern only the connection. A response to HEAD keeps the Content-Length, which announces no body. */
    HttpResponseMessage message;
    /** The connection may carry another request. */
    bool reusable = false;
    /** The body ended with the connection. */
    bool endedWithConnection = false;
    /** How long the other side keeps the connection idle, if it says so. */
    std::optional<Duration> idleLimit;
};

/**
 * Reads one whole response. All responses are read here, whoever sends them, so that none is taken for whole by another rule. Up to 8
 * interim responses (1xx) before it are discarded.
 * Errors: of the stream; Malformed, also if the protocol is switched, or if a length is missing and limits.untilClose isn't set; TooLarge.
 */
ReadResult<ReceivedResponse> readResponse(ByteStream &stream, bool headRequest, const ResponseLimits &limits, TimePoint deadline);

} // namespace Pimentohollow
