#include "http/reading/messagehead.h"

#include <algorithm>
#include <charconv>

namespace Pimentohollow
{

namespace
{

constexpr std::size_t MaximumHeaders = 100;
/** Enough for any body limit, and can't overflow 64 bits. */
constexpr std::size_t MaximumLengthDigits = 18;
constexpr std::string_view LineEnd = "\r\n";

bool isTokenChar(char it)
{
    constexpr std::string_view Punctuation = "!#$%&'*+-.^_`|~";
    return (it >= '0' && it <= '9') || (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z')
        || Punctuation.find(it) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenChar);
}

bool isFieldChar(char it)
{
    const auto code = static_cast<unsigned char>(it);
    return it == '\t' || (code >= ' ' && code != 0x7f);
}

bool isTargetChar(char it)
{
    const auto code = static_cast<unsigned char>(it);
    return code > ' ' && code < 0x7f && it != '#';
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::string_view takeLine(std::string_view &text)
{
    const auto end = text.find(LineEnd);
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + LineEnd.size());
    return line;
}

HeadResult<HttpHeader> parseHeaderLine(std::string_view line)
{
    if (line.front() == ' ' || line.front() == '\t') {
        return tl::unexpected<HeadError>("folded header lines are not accepted");
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) {
        return tl::unexpected<HeadError>("malformed header name");
    }
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (!isFieldText(value)) {
        return tl::unexpected<HeadError>("control character in a header value");
    }
    return HttpHeader{ std::string(line.substr(0, colon)), std::string(value) };
}

/** Converts a request target in absolute form to origin form. */
std::string originForm(std::string_view target)
{
    for (const std::string_view scheme : { "http://", "https://" }) {
        if (!target.starts_with(scheme)) {
            continue;
        }
        const auto path = target.find_first_of("/?", scheme.size());
        if (path == std::string_view::npos) {
            return "/";
        }
        return (target[path] == '?' ? "/" : "") + std::string(target.substr(path));
    }
    return std::string(target);
}

HeadResult<int> parseVersion(std::string_view text)
{
    if (text == "HTTP/1.1") {
        return 1;
    }
    if (text == "HTTP/1.0") {
        return 0;
    }
    return tl::unexpected<HeadError>("unsupported HTTP version");
}

HeadResult<void> parseRequestLine(std::string_view line, RequestHead &head)
{
    const auto first = line.find(' ');
    const auto last = line.rfind(' ');
    if (first == std::string_view::npos || first == last) {
        return tl::unexpected<HeadError>("malformed request line");
    }
    const std::string_view method = line.substr(0, first);
    const std::string_view target = line.substr(first + 1, last - first - 1);
    const auto version = parseVersion(line.substr(last + 1));
    if (!version) {
        return tl::unexpected(version.error());
    }
    if (!isToken(method) || target.empty() || !std::all_of(target.begin(), target.end(), isTargetChar)) {
        return tl::unexpected<HeadError>("malformed request line");
    }
    head.method = method;
    head.target = originForm(target);
    head.minorVersion = *version;
    const bool asterisk = head.target == "*" && head.method == "OPTIONS";
    if (!head.target.starts_with('/') && !asterisk) {
        return tl::unexpected<HeadError>("unsupported request target");
    }
    return {};
}

HeadResult<std::size_t> parseLength(std::string_view text)
{
    std::size_t length = 0;
    const char *end = text.data() + text.size();
    const bool digitsOnly = std::all_of(text.begin(), text.end(), [](char it) {
        return it >= '0' && it <= '9';
    });
    if (text.empty() || text.size() > MaximumLengthDigits || !digitsOnly || std::from_chars(text.data(), end, length).ptr != end) {
        return tl::unexpected<HeadError>("malformed Content-Length");
    }
    return length;
}

std::size_t countHeaders(const HttpHeaders &headers, std::string_view name)
{
    return static_cast<std::size_t>(std::count_if(headers.begin(), headers.end(), [name](const HttpHeader &it) {
        return headerNameEquals(it.name, name);
    }));
}

} // namespace

HeadResult<HttpHeaders> parseHeaderLines(std::string_view text)
{
    HttpHeaders headers;
    while (!text.empty()) {
        const std::string_view line = takeLine(text);
        if (line.empty()) {
            return tl::unexpected<HeadError>("empty header line");
        }
        if (headers.size() >= MaximumHeaders) {
            return tl::unexpected<HeadError>("too many headers");
        }
        auto header = parseHeaderLine(line);
        if (!header) {
            return tl::unexpected(header.error());
        }
        headers.push_back(std::move(*header));
    }
    return headers;
}

HeadResult<RequestHead> parseRequestHead(std::string_view text)
{
    RequestHead head;
    text.remove_suffix(std::min(text.size(), LineEnd.size()));
    if (const auto line = parseRequestLine(takeLine(text), head); !line) {
        return tl::unexpected(line.error());
    }
    auto headers = parseHeaderLines(text);
    if (!headers) {
        return tl::unexpected(headers.error());
    }
    head.headers = std::move(*headers);
    const std::size_t hosts = countHeaders(head.headers, "Host");
    if (hosts > 1 || (hosts == 0 && head.minorVersion == 1)) {
        return tl::unexpected<HeadError>("exactly one Host header is required");
    }
    return head;
}

HeadResult<ResponseHead> parseResponseHead(std::string_view text)
{
    constexpr std::size_t VersionChars = 8;
    constexpr std::size_t StatusChars = 3;
    constexpr std::size_t FirstStatus = 100;
    constexpr std::size_t LastStatus = 599;
    ResponseHead head;
    text.remove_suffix(std::min(text.size(), LineEnd.size()));
    const std::string_view line = takeLine(text);
    const auto version = parseVersion(line.substr(0, VersionChars));
    if (!version) {
        return tl::unexpected(version.error());
    }
    head.minorVersion = *version;
    const std::string_view rest = line.substr(VersionChars);
    const auto status = rest.size() > StatusChars ? parseLength(rest.substr(1, StatusChars)) : parseLength("");
    const bool separated = rest.size() == StatusChars + 1 || (rest.size() > StatusChars + 1 && rest[StatusChars + 1] == ' ');
    if (!status || *status < FirstStatus || *status > LastStatus || rest[0] != ' ' || !separated) {
        return tl::unexpected<HeadError>("malformed status line");
    }
    head.status = static_cast<std::uint16_t>(*status);
    head.reason = trimmed(rest.substr(StatusChars + 1));
    if (!isFieldText(head.reason)) {
        return tl::unexpected<HeadError>("control character in a reason phrase");
    }
    auto headers = parseHeaderLines(text);
    if (!headers) {
        return tl::unexpected(headers.error());
    }
    head.headers = std::move(*headers);
    return head;
}

HeadResult<BodyFraming> bodyFraming(const HttpHeaders &headers, int minorVersion)
{
    const std::size_t lengths = countHeaders(headers, "Content-Length");
    const std::size_t encodings = countHeaders(headers, "Transfer-Encoding");
    if (lengths > 1) {
        return tl::unexpected<HeadError>("more than one Content-Length");
    }
    if (lengths > 0 && encodings > 0) {
        return tl::unexpected<HeadError>("Content-Length together with Transfer-Encoding");
    }
    if (encodings > 0) {
        const bool chunked = encodings == 1 && headerNameEquals(*findHeader(headers, "Transfer-Encoding"), "chunked");
        if (!chunked || minorVersion == 0) {
            return tl::unexpected<HeadError>("unsupported Transfer-Encoding");
        }
        return BodyFraming{ BodyFraming::Kind::Chunked, 0 };
    }
    if (lengths == 0) {
        return BodyFraming{};
    }
    const auto length = parseLength(*findHeader(headers, "Content-Length"));
    if (!length) {
        return tl::unexpected(length.error());
    }
    return BodyFraming{ BodyFraming::Kind::Length, *length };
}

bool isFieldText(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), isFieldChar);
}

bool headerHasToken(const HttpHeaders &headers, std::string_view name, std::string_view token)
{
    for (const auto &it : headers) {
        if (!headerNameEquals(it.name, name)) {
            continue;
        }
        std::string_view rest = it.value;
        while (!rest.empty()) {
            const auto comma = rest.find(',');
            if (headerNameEquals(trimmed(rest.substr(0, comma)), token)) {
                return true;
            }
            rest.remove_prefix(comma == std::string_view::npos ? rest.size() : comma + 1);
        }
    }
    return false;
}

} // namespace Pimentohollow
