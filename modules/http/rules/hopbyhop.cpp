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
    const HttpHeaders before = headers;
    std::erase_if(headers, [&before](const HttpHeader &it) {
        return isHopByHop(it.name) || headerHasToken(before, "Connection", it.name);
    });
}

} // namespace Pimentohollow
