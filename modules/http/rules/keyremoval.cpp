#include "http/rules/keyremoval.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <string_view>

namespace Pimentohollow
{

namespace
{

constexpr std::string_view TokenParameter = "access_token";

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

bool contains(std::string_view text, const std::optional<std::string> &key)
{
    if (!key || key->empty()) {
        return false;
    }
    if (text.find(*key) != std::string_view::npos) {
        return true;
    }
    return text.find('%') != std::string_view::npos && percentDecoded(text).find(*key) != std::string::npos;
}

bool isTokenParameter(std::string_view parameter)
{
    return percentDecoded(parameter.substr(0, parameter.find('='))) == TokenParameter;
}

std::string keptParameters(std::string_view query, const std::optional<std::string> &key)
{
    std::string kept;
    while (!query.empty()) {
        const auto end = query.find('&');
        const std::string_view parameter = query.substr(0, end);
        query.remove_prefix(end == std::string_view::npos ? query.size() : end + 1);
        if (isTokenParameter(parameter) || contains(parameter, key)) {
            continue;
        }
        kept += kept.empty() ? "" : "&";
        kept += parameter;
    }
    return kept;
}

void cleanQuery(std::string &target, const std::optional<std::string> &key)
{
    const auto mark = target.find('?');
    if (mark == std::string::npos) {
        return;
    }
    const std::string_view query = std::string_view(target).substr(mark + 1);
    if (query.find(TokenParameter) == std::string_view::npos && query.find('%') == std::string_view::npos && !contains(query, key)) {
        return; // keeps the query byte for byte
    }
    const std::string kept = keptParameters(query, key);
    target.resize(mark);
    target += kept.empty() ? "" : "?" + kept;
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
        return headerNameEquals(it.name, "Authorization") || headerNameEquals(it.name, "Proxy-Authorization") || contains(it.name, key)
            || contains(it.value, key);
    });
    cleanQuery(request.target, key);
    if (contains(request.target, key)) {
        return tl::unexpected<std::string>("the path contains the client key");
    }
    if (contains(request.body, key)) {
        return tl::unexpected<std::string>("the body contains the client key");
    }
    return {};
}

} // namespace Pimentohollow
