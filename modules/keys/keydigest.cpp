#include "keys/keydigest.h"

#include <cassert>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace Pimentohollow
{

namespace
{

constexpr std::string_view HexDigits = "0123456789abcdef";

std::optional<std::uint8_t> hexValue(char digit)
{
    const std::size_t at = HexDigits.find(digit);
    return at == std::string_view::npos ? std::nullopt : std::optional(static_cast<std::uint8_t>(at));
}

} // namespace

KeyDigest keyDigest(std::string_view pepper, std::string_view key)
{
    assert(!pepper.empty());
    KeyDigest digest{};
    unsigned int length = 0;
    const auto *bytes = reinterpret_cast<const unsigned char *>(key.data());
    HMAC(EVP_sha256(), pepper.data(), static_cast<int>(pepper.size()), bytes, key.size(), digest.data(), &length);
    assert(length == digest.size());
    return digest;
}

bool sameDigest(const KeyDigest &left, const KeyDigest &right)
{
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string digestText(const KeyDigest &digest)
{
    std::string text;
    for (const std::uint8_t it : digest) {
        text += HexDigits[it >> 4];
        text += HexDigits[it & 0xf];
    }
    return text;
}

std::optional<KeyDigest> parseDigest(std::string_view text)
{
    KeyDigest digest{};
    if (text.size() != digest.size() * 2) {
        return std::nullopt;
    }
    for (std::size_t n = 0; n < digest.size(); ++n) {
        const auto high = hexValue(text[2 * n]);
        const auto low = hexValue(text[2 * n + 1]);
        if (!high || !low) {
            return std::nullopt;
        }
        digest[n] = static_cast<std::uint8_t>(*high << 4 | *low);
    }
    return digest;
}

} // namespace Pimentohollow
