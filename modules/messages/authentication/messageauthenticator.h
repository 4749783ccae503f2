#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Pimentohollow
{

/** Computes and checks HMAC-SHA256 tags under the fleet secret, so that a stranger can't send node-to-node messages. */
class MessageAuthenticator
{
public:
    static constexpr std::size_t TagBytes = 32;
    using Tag = std::array<std::uint8_t, TagBytes>;

    /** @param secret the fleet secret from the settings; must not be empty */
    explicit MessageAuthenticator(std::string secret);

    Tag tag(std::string_view data) const;

    /** Compares in constant time; false for a tag of another length. */
    bool verify(std::string_view data, std::string_view tag) const;

    /** Compares a computed tag with a received one in constant time. */
    static bool equal(const Tag &computed, std::string_view received);

private:
    std::string m_secret;
};

} // namespace Pimentohollow
