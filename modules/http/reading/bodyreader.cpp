#include "http/reading/bodyreader.h"

#include <algorithm>
#include <charconv>

namespace Pimentohollow
{

namespace
{

constexpr std::size_t MaximumChunkLineBytes = 256;
constexpr std::size_t MaximumTrailerBytes = std::size_t{ 8 } * 1024;
/** 32 bits; more digits would be leading zeros or exceed any limit. */
constexpr std::size_t MaximumChunkDigits = 8;

ReadResult<std::size_t> parseChunkSize(std::string_view line)
{
    const auto end = std::min(line.find_first_not_of("0123456789abcdefABCDEF"), line.size());
    const bool hasValidEnd = end == line.size() || (line[end] == ';' && isFieldText(line.substr(end)));
    if (end == 0 || end > MaximumChunkDigits || !hasValidEnd) {
        return tl::unexpected(ReadError::Malformed);
    }
    std::size_t size = 0;
    std::from_chars(line.data(), line.data() + end, size, 16);
    return size;
}

ReadResult<void> skipTrailers(ByteStream &stream, TimePoint deadline)
{
    std::string trailers;
    while (true) {
        const auto line = stream.readLine(MaximumTrailerBytes, deadline);
        if (!line) {
            return tl::unexpected(line.error());
        }
        if (line->empty()) {
            break;
        }
        trailers += *line + "\r\n";
        if (trailers.size() > MaximumTrailerBytes) {
            return tl::unexpected(ReadError::TooLarge);
        }
    }
    if (!parseHeaderLines(trailers)) {
        return tl::unexpected(ReadError::Malformed);
    }
    return {};
}

/** Appends the next chunk to @p body and returns its size, which is 0 for the last chunk. */
ReadResult<std::size_t> readChunk(ByteStream &stream, std::string &body, std::size_t maximumBytes, TimePoint deadline)
{
    const auto line = stream.readLine(MaximumChunkLineBytes, deadline);
    if (!line) {
        return tl::unexpected(line.error());
    }
    const auto size = parseChunkSize(*line);
    if (!size || *size == 0) {
        return size;
    }
    if (*size > maximumBytes - body.size()) {
        return tl::unexpected(ReadError::TooLarge);
    }
    if (const auto read = stream.readExactly(body, *size, deadline); !read) {
        return tl::unexpected(read.error());
    }
    std::string lineEnd;
    if (const auto read = stream.readExactly(lineEnd, 2, deadline); !read) {
        return tl::unexpected(read.error());
    }
    if (lineEnd != "\r\n") {
        return tl::unexpected(ReadError::Malformed);
    }
    return size;
}

ReadResult<std::string> readChunked(ByteStream &stream, std::size_t maximumBytes, TimePoint deadline)
{
    std::string body;
    while (true) {
        const auto size = readChunk(stream, body, maximumBytes, deadline);
        if (!size) {
            return tl::unexpected(size.error());
        }
        if (*size == 0) {
            break;
        }
    }
    if (const auto skipped = skipTrailers(stream, deadline); !skipped) {
        return tl::unexpected(skipped.error());
    }
    return body;
}

} // namespace

ReadResult<std::string> readBody(ByteStream &stream, const BodyFraming &framing, std::size_t maximumBytes, TimePoint deadline)
{
    if (framing.kind == BodyFraming::Kind::None) {
        return std::string();
    }
    if (framing.kind == BodyFraming::Kind::Chunked) {
        return readChunked(stream, maximumBytes, deadline);
    }
    if (framing.length > maximumBytes) {
        return tl::unexpected(ReadError::TooLarge);
    }
    std::string body;
    if (const auto read = stream.readExactly(body, framing.length, deadline); !read) {
        return tl::unexpected(read.error());
    }
    return body;
}

} // namespace Pimentohollow
