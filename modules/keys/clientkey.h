#pragma once

#include "core/error.h"
#include "core/names.h"

#include <string>
#include <string_view>

namespace Pimentohollow
{

/**
 * A client key: "ph_" and 32 random bytes in base64url. Exists only while it is issued or checked and is never
 * stored or logged; it has no stream operator for that reason.
 */
class ClientKey
{
public:
    static constexpr std::string_view Prefix = "ph_";
    static constexpr std::size_t RandomBytes = 32;
    /** Prefix and 43 characters of base64url without padding. */
    static constexpr std::size_t TextBytes = 46;

    /** A new key from the cryptographic random source. */
    static Result<ClientKey> generate();

    /** True if @p text has the form of a key; says nothing about whether it was issued. */
    static bool wellFormed(std::string_view text);

    /** The key itself, for the caller only. */
    const std::string &reveal() const;

private:
    explicit ClientKey(std::string text);

    std::string m_text;
};

/** A new random id of a key, for example "k3f9c2a1b7d405e6". */
Result<KeyId> generateKeyId();

} // namespace Pimentohollow
