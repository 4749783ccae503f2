#include "storage/http/requestsigner.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

namespace Pimentohollow
{

namespace
{

constexpr const char *Algorithm = "AWS4-HMAC-SHA256";
constexpr std::size_t DateBytes = 8;

std::string hex(std::string_view bytes)
{
    std::string text;
    for (const char it : bytes) {
        text += fmt::format("{:02x}", static_cast<unsigned char>(it));
    }
    return text;
}

std::string hmac(std::string_view key, std::string_view data)
{
    std::string result(SHA256_DIGEST_LENGTH, '\0');
    unsigned int length = 0;
    HMAC(EVP_sha256(),
         key.data(),
         static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(data.data()),
         data.size(),
         reinterpret_cast<unsigned char *>(result.data()),
         &length);
    return result;
}

std::string headerNames(const SignedHeaders &headers)
{
    std::string names;
    for (const auto &it : headers) {
        names += names.empty() ? "" : ";";
        names += it.first;
    }
    return names;
}

std::string canonicalRequest(const SignableRequest &request)
{
    std::string text = fmt::format("{}\n{}\n{}\n", request.method, request.path, request.query);
    for (const auto &[name, value] : request.headers) {
        text += fmt::format("{}:{}\n", name, value);
    }
    text += fmt::format("\n{}\n{}", headerNames(request.headers), request.payloadHash);
    return text;
}

} // namespace

RequestSigner::RequestSigner(std::string accessKeyId, std::string secretAccessKey, std::string region, std::string service)
    : m_accessKeyId(std::move(accessKeyId))
    , m_secretAccessKey(std::move(secretAccessKey))
    , m_region(std::move(region))
    , m_service(std::move(service))
{
}

std::string RequestSigner::scope(const std::string &time) const
{
    return fmt::format("{}/{}/{}/aws4_request", time.substr(0, DateBytes), m_region, m_service);
}

std::string RequestSigner::signature(const SignableRequest &request, const std::string &time) const
{
    const std::string hash = sha256Hex(canonicalRequest(request));
    const std::string text = fmt::format("{}\n{}\n{}\n{}", Algorithm, time, scope(time), hash);
    const std::string dateKey = hmac("AWS4" + m_secretAccessKey, time.substr(0, DateBytes));
    const std::string regionKey = hmac(dateKey, m_region);
    const std::string serviceKey = hmac(regionKey, m_service);
    const std::string signingKey = hmac(serviceKey, "aws4_request");
    return hex(hmac(signingKey, text));
}

std::string RequestSigner::authorization(const SignableRequest &request, const std::string &time) const
{
    return fmt::format("{} Credential={}/{}, SignedHeaders={}, Signature={}",
                       Algorithm,
                       m_accessKeyId,
                       scope(time),
                       headerNames(request.headers),
                       signature(request, time));
}

std::string RequestSigner::timeText(WallTime time)
{
    return fmt::format("{:%Y%m%dT%H%M%SZ}", fmt::gmtime(std::chrono::system_clock::to_time_t(time)));
}

std::string RequestSigner::sha256Hex(std::string_view data)
{
    std::string digest(SHA256_DIGEST_LENGTH, '\0');
    const auto *bytes = reinterpret_cast<const unsigned char *>(data.data());
    SHA256(bytes, data.size(), reinterpret_cast<unsigned char *>(digest.data()));
    return hex(digest);
}

std::string RequestSigner::encodePath(std::string_view path)
{
    constexpr std::string_view Plain = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~/";
    std::string text;
    for (const char it : path) {
        if (Plain.find(it) != std::string_view::npos) {
            text += it;
        } else {
            text += fmt::format("%{:02X}", static_cast<unsigned char>(it));
        }
    }
    return text;
}

} // namespace Pimentohollow
