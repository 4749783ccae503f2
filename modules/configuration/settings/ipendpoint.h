#pragma once

#include "configuration/parsing/scalars.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Pimentohollow
{

/** A numeric IP address with a port. Host names are refused, because nodes communicate without name resolution. */
struct IpEndpoint {
    std::string address;
    std::uint16_t port = 0;

    /** "127.0.0.1:8080" or "[::1]:8080". */
    std::string text() const;

    bool isLoopback() const;

    auto operator<=>(const IpEndpoint &) const = default;
};

std::optional<IpEndpoint> parseIpEndpoint(std::string_view text);

std::string parseScalar(const std::string &text, const Range &range, IpEndpoint &value);

} // namespace Pimentohollow
