#include "keys/clientkey.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

namespace Pimentohollow
{

namespace
{

constexpr std::size_t KeyIdBytes = 8;

template <std::size_t Size>
Result<std::array<unsigned char, Size>> randomBytes(const char *step)
{
    std::array<unsigned char, Size> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        return failure(ErrorKind::Internal, step, "the cryptographic random source failed");
    }
    return bytes;
}

bool isBase64Url(char it)
{
    return (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') || (it >= '0' && it <= '9') || it == '-' || it == '_';
}

} // namespace

ClientKey::ClientKey(std::string text)
    : m_text(std::move(text))
{
}

Result<ClientKey> ClientKey::generate()
{
    const auto bytes = randomBytes<RandomBytes>("key.generate");
    if (!bytes) {
        return tl::make_unexpected(bytes.error());
    }
    // 44 characters, the last one padding, and a terminating zero.
    std::array<unsigned char, 45> buf{};
    EVP_EncodeBlock(buf.data(), bytes->data(), static_cast<int>(bytes->size()));
    const std::string encoded(buf.begin(), buf.begin() + TextBytes - Prefix.size());
    std::string text = fmt::format("{}{}", Prefix, encoded);
    std::replace(text.begin(), text.end(), '+', '-');
    std::replace(text.begin(), text.end(), '/', '_');
    return ClientKey(std::move(text));
}

bool ClientKey::wellFormed(std::string_view text)
{
    return text.size() == TextBytes && text.starts_with(Prefix) && std::all_of(text.begin() + Prefix.size(), text.end(), isBase64Url);
}

const std::string &ClientKey::reveal() const
{
    return m_text;
}

Result<KeyId> generateKeyId()
{
    const auto bytes = randomBytes<KeyIdBytes>("key.generate_id");
    if (!bytes) {
        return tl::make_unexpected(bytes.error());
    }
    std::string text(1, 'k');
    for (const unsigned char it : *bytes) {
        text += fmt::format("{:02x}", it);
    }
    return KeyId(text);
}

} // namespace Pimentohollow
