#pragma once

#include <optional>
#include <string>

namespace Pimentohollow
{

/** The whole content of a file; nothing if it can't be read. */
std::optional<std::string> readTextFile(const std::string &path);

} // namespace Pimentohollow
