#pragma once

#include "http/reading/bytestream.h"
#include "http/reading/messagehead.h"

namespace Pimentohollow
{

/** Reads the head of the final response; up to 8 interim responses (1xx) before it are discarded. Errors: of the stream; Malformed, also if
 * the protocol is switched. */
ReadResult<ResponseHead> readFinalResponseHead(ByteStream &stream, std::size_t maximumBytes, TimePoint deadline);

} // namespace Pimentohollow
