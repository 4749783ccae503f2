#include "messages/authentication/messageauthenticator.h"

#include <cassert>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace Pimentohollow
{

MessageAuthenticator::MessageAuthenticator(std::string secret)
    : m_secret(std::move(secret))
{
    assert(!m_secret.empty());
}

MessageAuthenticator::Tag MessageAuthenticator::tag(std::string_view data) const
{
    Tag result{};
    unsigned int length = 0;
    const auto *bytes = reinterpret_cast<const unsigned char *>(data.data());
    HMAC(EVP_sha256(), m_secret.data(), static_cast<int>(m_secret.size()), bytes, data.size(), result.data(), &length);
    assert(length == TagBytes);
    return result;
}

bool MessageAuthenticator::verify(std::string_view data, std::string_view tag) const
{
    return equal(this->tag(data), tag);
}

bool MessageAuthenticator::equal(const Tag &computed, std::string_view received)
{
    return received.size() == TagBytes && CRYPTO_memcmp(computed.data(), received.data(), TagBytes) == 0;
}

} // namespace Pimentohollow
