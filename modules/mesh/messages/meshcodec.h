#pragma once

#include "core/error.h"
#include "mesh/messages/meshframes.h"

#include <optional>
#include <string_view>

namespace Pimentohollow
{

/** Appends a frame to @p out: its length in four bytes, the least significant first, and its content. */
void appendFrame(std::string &out, const MeshFrame &frame);

/**
 * Takes the first frame from @p in; nothing if it isn't complete yet.
 * Errors: InvalidInput for a frame that is too large or can't be read; the connection must be closed then.
 */
Result<std::optional<MeshFrame>> extractFrame(std::string_view &in);

} // namespace Pimentohollow
