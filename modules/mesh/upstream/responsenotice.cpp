#include "mesh/upstream/responsenotice.h"

#include <charconv>
#include <cmath>

namespace Pimentohollow
{

namespace
{

constexpr std::size_t MaximumLoggedLength = 40;

tl::unexpected<Error> invalidHeader(const std::string &name, const std::string &value)
{
    return failure(ErrorKind::InvalidInput, "upstream.notice", name + ": " + value.substr(0, MaximumLoggedLength));
}

} // namespace

Result<ResponseNotice> parseResponseNotice(const std::vector<HttpHeader> &headers, const HeaderNames &names)
{
    ResponseNotice notice;
    if (const auto *limit = findHeader(headers, names.limit)) {
        double value = 0;
        const char *end = limit->data() + limit->size();
        const auto parsed = std::from_chars(limit->data(), end, value, std::chars_format::fixed);
        if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(value) || value < 0) {
            return invalidHeader(names.limit, *limit);
        }
        notice.requestsPerSecond = value;
    }
    if (const auto *leaving = findHeader(headers, names.leaving)) {
        if (*leaving != "1") {
            return invalidHeader(names.leaving, *leaving);
        }
        notice.leaving = true;
    }
    return notice;
}

} // namespace Pimentohollow
