#include "core/ipendpoint.h"

#include <arpa/inet.h>
#include <charconv>
#include <fmt/format.h>

namespace Pimentohollow
{

namespace
{

bool isAddress(int family, const std::string &address)
{
    in6_addr buf{};
    return inet_pton(family, address.c_str(), &buf) == 1;
}

} // namespace

std::string IpEndpoint::text() const
{
    const bool isVersion6 = address.find(':') != std::string::npos;
    return isVersion6 ? fmt::format("[{}]:{}", address, port) : fmt::format("{}:{}", address, port);
}

bool IpEndpoint::isLoopback() const
{
    return address.starts_with("127.") || address == "::1";
}

std::optional<IpEndpoint> parseIpEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    IpEndpoint result;
    const std::string_view port = text.substr(colon + 1);
    const auto [rest, ec] = std::from_chars(port.data(), port.data() + port.size(), result.port);
    if (ec != std::errc() || rest != port.data() + port.size() || result.port == 0) {
        return std::nullopt;
    }
    result.address = std::string(text.substr(0, colon));
    if (isAddress(AF_INET, result.address)) {
        return result;
    }
    const bool bracketed = result.address.size() > 2 && result.address.front() == '[' && result.address.back() == ']';
    if (!bracketed) {
        return std::nullopt;
    }
    result.address = result.address.substr(1, result.address.size() - 2);
    return isAddress(AF_INET6, result.address) ? std::optional(result) : std::nullopt;
}

} // namespace Pimentohollow
