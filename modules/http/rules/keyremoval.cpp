#include "http/rules/keyremoval.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <string_view>

namespace Pimentohollow
{

namespace
{

constexpr std::string_view AccessTokenParameter = "access_token";

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    try {
        Poco::URI::decode(std::string(text), decoded, true);
    } catch (const Poco::Exception &) {
        return std::string(text); // not percent-encoded
    }
    return decoded;
}

bool containsKey(std::string_view text, const std::optional<std::string> &key)
{
    if (!key || key->empty()) {
        return false;
    }
    if (text.find(*key) != std::string_view::npos) {
        return true;
    }
    return text.find('%') != std::string_view::npos && percentDecoded(text).find(*key) != std::string::npos;
}

bool isAccessToken(std::string_view parameter)
{
    return percentDecoded(parameter.substr(0, parameter.find('='))) == AccessTokenParameter;
}

std::string parametersWithoutKey(std::string_view query, const std::optional<std::string> &key)
{
    std::string remaining;
    while (!query.empty()) {
        const auto end = query.find('&');
        const std::string_view parameter = query.substr(0, end);
        query.remove_prefix(end == std::string_view::npos ? query.size() : end + 1);
        if (isAccessToken(parameter) || containsKey(parameter, key)) {
            continue;
        }
        remaining += remaining.empty() ? "" : "&";
        remaining += parameter;
    }
    return remaining;
}

void removeKeyFromQuery(std::string &target, const std::optional<std::string> &key)
{
    const auto queryStart = target.find('?');
    if (queryStart == std::string::npos) {
        return;
    }
    const std::string_view query = std::string_view(target).substr(queryStart + 1);
    if (query.find(AccessTokenParameter) == std::string_view::npos && query.find('%') == std::string_view::npos
        && !containsKey(query, key)) {
        return; // leaves the query unchanged byte for byte
    }
    const std::string remaining = parametersWithoutKey(query, key);
    target.resize(queryStart);
    target += remaining.empty() ? "" : "?" + remaining;
}

} // namespace

std::optional<std::string> bearerKey(const HttpHeaders &headers)
{
    constexpr std::string_view Scheme = "Bearer ";
    const std::string *value = findHeader(headers, "Authorization");
    if (value == nullptr || value->size() <= Scheme.size()
        || !headerNameEquals(std::string_view(*value).substr(0, Scheme.size()), Scheme)) {
        return std::nullopt;
    }
    const auto start = value->find_first_not_of(' ', Scheme.size());
    return start == std::string::npos ? std::nullopt : std::optional(value->substr(start));
}

tl::expected<void, std::string> removeKey(HttpRequestMessage &request, const std::optional<std::string> &key)
{
    std::erase_if(request.headers, [&key](const HttpHeader &it) {
        return headerNameEquals(it.name, "Authorization") || headerNameEquals(it.name, "Proxy-Authorization") || containsKey(it.name, key)
            || containsKey(it.value, key);
    });
    removeKeyFromQuery(request.target, key);
    if (containsKey(request.target, key)) {
        return tl::unexpected<std::string>("the path contains the client key");
    }
    if (containsKey(request.body, key)) {
        return tl::unexpected<std::string>("the body contains the client key");
    }
    return {};
}

} // namespace Pimentohollow
