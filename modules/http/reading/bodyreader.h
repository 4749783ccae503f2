#pragma once

#include "http/reading/bytestream.h"
#include "http/reading/messagehead.h"

namespace Pimentohollow
{

/**
 * Reads a body completely, or reports why it isn't complete; the chunked coding is removed and trailers are dropped.
 * @param maximumBytes bound on the decoded body
 */
ReadResult<std::string> readBody(ByteStream &stream, const BodyFraming &framing, std::size_t maximumBytes, TimePoint deadline);

} // namespace Pimentohollow
