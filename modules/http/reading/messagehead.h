#pragma once

#include "messages/call/httpmessages.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace Pimentohollow
{

/** Why a message head is refused, for the detail of the answer. */
using HeadError = std::string;

template <typename T>
using HeadResult = tl::expected<T, HeadError>;

struct RequestHead {
    std::string method;
    std::string target;
    /** 0 for HTTP/1.0, 1 for HTTP/1.1. */
    int minorVersion = 1;
    HttpHeaders headers;
};

struct ResponseHead {
    std::uint16_t status = 0;
    std::string reason;
    int minorVersion = 1;
    HttpHeaders headers;
};

/** How the end of a body is found. */
struct BodyFraming {
    enum class Kind {
        None,
        Length,
        Chunked,
    };
    Kind kind = Kind::None;
    std::size_t length = 0;
};

/**
 * Parsers of message heads that accept one reading only.
 *
 * POCO's parser isn't used here: it accepts bare LF, folded lines and repeated framing headers, and it decodes
 * RFC 2047 words in header values, which changes what the caller sent.
 * @param text the head with its empty line, line ends checked by ByteStream::readHead()
 */
HeadResult<RequestHead> parseRequestHead(std::string_view text);
HeadResult<ResponseHead> parseResponseHead(std::string_view text);

/** Parses header lines (each with CRLF) without the empty line. */
HeadResult<HttpHeaders> parseHeaderLines(std::string_view text);

/** Finds the framing; refuses repeated or contradictory framing headers. */
HeadResult<BodyFraming> bodyFraming(const HttpHeaders &headers, int minorVersion);

/** True if one of the comma-separated values of the headers called @p name is @p token, without regard to case. */
bool headerHasToken(const HttpHeaders &headers, std::string_view name, std::string_view token);

} // namespace Pimentohollow
