#pragma once

#include "http/reading/bytestream.h"
#include "http/reading/messagehead.h"

namespace Pimentohollow
{

/**
 * Reads a complete body, decodes the chunked coding and discards trailers; returns an error if the body is incomplete.
 * @param maximumBytes limit on the decoded body
 */
ReadResult<std::string> readBody(ByteStream &stream, const BodyFraming &framing, std::size_t maximumBytes, TimePoint deadline);

} // namespace Pimentohollow
