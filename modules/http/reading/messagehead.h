#pragma once

#include "messages/call/httpmessages.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace Pimentohollow
{

/** Why a message head is rejected; becomes the detail of the problem response. */
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

/** How the length of a body is determined. */
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
 * Strict parsers of message heads: a head that parsers could interpret differently is rejected.
 *
 * POCO's parser isn't used: it accepts bare LF, folded lines and repeated framing headers, and it decodes
 * RFC 2047 words in header values, which alters the values that the caller sent.
 * @param text the head with its empty line; ByteStream::readHead() has checked the line ends
 */
HeadResult<RequestHead> parseRequestHead(std::string_view text);
HeadResult<ResponseHead> parseResponseHead(std::string_view text);

/** Parses header lines, each with its CRLF, without the empty line that ends a head. */
HeadResult<HttpHeaders> parseHeaderLines(std::string_view text);

/** True if no byte of @p text is a control byte other than a tab, as in header values, reason phrases and chunk extensions. */
bool isFieldText(std::string_view text);

/** Determines the framing; repeated, contradictory or unsupported framing headers are an error. */
HeadResult<BodyFraming> bodyFraming(const HttpHeaders &headers, int minorVersion);

/** True if one of the comma-separated values of the headers called @p name is @p token, ignoring case. */
bool headerHasToken(const HttpHeaders &headers, std::string_view name, std::string_view token);

} // namespace Pimentohollow
