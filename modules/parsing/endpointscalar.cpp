#include "parsing/endpointscalar.h"

namespace Pimentohollow
{

std::string parseScalar(const std::string &text, const Range &, IpEndpoint &value)
{
    const auto parsed = parseIpEndpoint(text);
    if (!parsed) {
        return "must be a numeric IP address and a port, such as 10.0.0.5:8080 or [fd00::5]:8080";
    }
    value = *parsed;
    return {};
}

} // namespace Pimentohollow
