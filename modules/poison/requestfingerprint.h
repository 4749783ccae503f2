#pragma once

#include "core/names.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Pimentohollow
{

/**
 * 128-bit hash over account, route and body: a caller that repeats a request repeats its fingerprint.
 * The hash is not cryptographic. It covers the account, so that no account can make another account's requests suspect.
 */
struct RequestFingerprint {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    static RequestFingerprint of(const AccountName &account, const RouteName &route, std::string_view body);

    /** 32 lower-case hex digits. */
    std::string hex() const;

    bool operator==(const RequestFingerprint &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(high, low);
    }
};

} // namespace Pimentohollow

template <>
struct std::hash<Pimentohollow::RequestFingerprint> {
    std::size_t operator()(const Pimentohollow::RequestFingerprint &fingerprint) const noexcept
    {
        return fingerprint.low;
    }
};
