#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Pimentohollow
{

struct HttpHeader {
    std::string name;
    std::string value;

    bool operator==(const HttpHeader &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(name, value);
    }
};

using HttpHeaders = std::vector<HttpHeader>;

/** A complete request; the framing headers of its connection aren't part of it. */
struct HttpRequestMessage {
    std::string method;
    /** Path and query, beginning with "/" (or "*" for OPTIONS). */
    std::string target;
    HttpHeaders headers;
    std::string body;

    bool operator==(const HttpRequestMessage &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(method, target, headers, body);
    }
};

/** A complete answer; the framing headers of its connection aren't part of it. */
struct HttpResponseMessage {
    std::uint16_t status = 200;
    std::string reason;
    HttpHeaders headers;
    std::string body;

    bool operator==(const HttpResponseMessage &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(status, reason, headers, body);
    }
};

/** Compares header names, without regard to ASCII case. */
bool headerNameEquals(std::string_view first, std::string_view second);

/** The value of the first header called @p name, or nullptr. */
const std::string *findHeader(const HttpHeaders &headers, std::string_view name);

/** Removes all headers called @p name. */
void removeHeader(HttpHeaders &headers, std::string_view name);

/** Replaces all headers called @p name by one. */
void setHeader(HttpHeaders &headers, std::string_view name, std::string value);

} // namespace Pimentohollow
