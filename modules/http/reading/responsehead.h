#pragma once

#include "http/reading/bytestream.h"
#include "http/reading/messagehead.h"

namespace Pimentohollow
{

/** Reads the head of the final answer and drops a few interim ones (1xx) before it. Errors: those of the stream, and Malformed. */
ReadResult<ResponseHead> readFinalResponseHead(ByteStream &stream, std::size_t maximumBytes, TimePoint deadline);

} // namespace Pimentohollow
