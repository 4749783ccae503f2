#include "http/rules/hopbyhop.h"

#include "http/reading/messagehead.h"

#include <array>

namespace Pimentohollow
{

namespace
{

constexpr std::array<std::string_view, 11> HopByHopNames{
    "Connection", "Keep-Alive",     "Proxy-Connection", "Proxy-Authorization", "Proxy-Authenticate", "TE", "Trailer", "Transfer-Encoding",
    "Upgrade",    "Content-Length", "Expect",
};

bool isHopByHop(std::string_view name)
{
    for (const auto it : HopByHopNames) {
        if (headerNameEquals(it, name)) {
            return true;
        }
    }
    return false;
}

} // namespace

void removeHopByHopHeaders(HttpHeaders &headers)
{
    const HttpHeaders original = headers;
    std::erase_if(headers, [&original](const HttpHeader &it) {
        return isHopByHop(it.name) || headerHasToken(original, "Connection", it.name);
    });
}

} // namespace Pimentohollow
