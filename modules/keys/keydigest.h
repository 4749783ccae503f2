#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Pimentohollow
{

/** HMAC-SHA256 of a client key under the fleet's pepper; what is stored instead of the key. */
using KeyDigest = std::array<std::uint8_t, 32>;

/** @param pepper from the settings; must not be empty */
KeyDigest keyDigest(std::string_view pepper, std::string_view key);

/** Compares without revealing by its duration where the digests differ. */
bool sameDigest(const KeyDigest &left, const KeyDigest &right);

/** Lower-case hex. */
std::string digestText(const KeyDigest &digest);

/** Nothing unless @p text is 64 hexadecimal digits. */
std::optional<KeyDigest> parseDigest(std::string_view text);

} // namespace Pimentohollow
