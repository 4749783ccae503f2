#pragma once

#include "core/error.h"
#include "mesh/messages/meshframes.h"

#include <optional>
#include <string_view>

namespace Pimentohollow
{

/** Appends the encoded frame to @p out: a little-endian length of four bytes, followed by the content. */
void appendFrame(std::string &out, const MeshFrame &frame);

/**
 * Decodes the first frame of @p in and removes its bytes; returns nothing if the frame is incomplete.
 * Errors: InvalidInput for a frame that is too large or malformed; the connection must then be closed.
 */
Result<std::optional<MeshFrame>> extractFrame(std::string_view &in);

} // namespace Pimentohollow
