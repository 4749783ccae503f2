#pragma once

#include <string>

namespace Pimentohollow
{

std::string encodeBase64(const std::string &bytes);

/** Characters that don't belong to the encoding are skipped. */
std::string decodeBase64(const std::string &text);

} // namespace Pimentohollow
