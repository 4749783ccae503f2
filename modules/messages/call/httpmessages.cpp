#include "messages/call/httpmessages.h"

#include <algorithm>

namespace Pimentohollow
{

namespace
{

char lowerCase(char it)
{
    return it >= 'A' && it <= 'Z' ? static_cast<char>(it - 'A' + 'a') : it;
}

} // namespace

bool headerNameEquals(std::string_view first, std::string_view second)
{
    return std::equal(first.begin(), first.end(), second.begin(), second.end(), [](char a, char b) {
        return lowerCase(a) == lowerCase(b);
    });
}

const std::string *findHeader(const HttpHeaders &headers, std::string_view name)
{
    for (const auto &it : headers) {
        if (headerNameEquals(it.name, name)) {
            return &it.value;
        }
    }
    return nullptr;
}

void removeHeader(HttpHeaders &headers, std::string_view name)
{
    std::erase_if(headers, [name](const HttpHeader &it) {
        return headerNameEquals(it.name, name);
    });
}

void setHeader(HttpHeaders &headers, std::string_view name, std::string value)
{
    removeHeader(headers, name);
    headers.push_back({ std::string(name), std::move(value) });
}

} // namespace Pimentohollow
