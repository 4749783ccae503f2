#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace Pimentohollow
{

/** A numeric IP address with a port. Host names are refused, because nodes communicate without name resolution. */
struct IpEndpoint {
    std::string address;
    std::uint16_t port = 0;

    /** "127.0.0.1:8080" or "[::1]:8080". */
    std::string text() const;

    bool isLoopback() const;

    bool operator==(const IpEndpoint &) const = default;

    bool operator<(const IpEndpoint &other) const
    {
        return std::tie(address, port) < std::tie(other.address, other.port);
    }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(address, port);
    }
};

/** Nothing if the text isn't a numeric address with a port above 0. */
std::optional<IpEndpoint> parseIpEndpoint(std::string_view text);

} // namespace Pimentohollow
