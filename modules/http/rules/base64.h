#pragma once

#include <string>

namespace Pimentohollow
{

std::string encodeBase64(const std::string &bytes);

/** Ignores characters outside the base64 alphabet. */
std::string decodeBase64(const std::string &text);

} // namespace Pimentohollow
