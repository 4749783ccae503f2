#include "parsing/scalars.h"

#include <array>
#include <charconv>
#include <cmath>
#include <fmt/format.h>

namespace Pimentohollow
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t MaximumNameBytes = 64;
constexpr std::size_t MaximumTextBytes = 1024;
constexpr Duration MaximumDuration = std::chrono::hours(24 * 366);

struct Unit {
    std::string_view name;
    Duration length;
};

// Longest first, so that formatting finds the largest unit that divides the value.
constexpr std::array<Unit, 7> Units{ {
    { "d", 24h },
    { "h", 1h },
    { "m", 1min },
    { "s", 1s },
    { "ms", 1ms },
    { "us", 1us },
    { "ns", 1ns },
} };

template <typename Number>
bool parseNumber(std::string_view text, Number &value)
{
    const char *end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, value);
    return ec == std::errc() && rest == end && !text.empty();
}

/** @p count times @p unit; nothing if @p count isn't a number that isn't negative, or the duration is too long. */
std::optional<Duration> multiply(std::string_view count, Duration unit)
{
    std::int64_t whole = 0;
    if (parseNumber(count, whole)) {
        return whole >= 0 && whole <= MaximumDuration / unit ? std::optional(whole * unit) : std::nullopt;
    }
    double number = 0;
    if (!parseNumber(count, number)) {
        return std::nullopt;
    }
    const double nanoseconds = number * static_cast<double>(unit.count());
    // False also for a number that is NaN.
    const bool inRange = nanoseconds >= 0 && nanoseconds <= static_cast<double>(MaximumDuration.count());
    return inRange ? std::optional(Duration(std::llround(nanoseconds))) : std::nullopt;
}

template <typename Number>
std::string rangeProblem(Number value, const Range &range)
{
    const auto number = static_cast<double>(value);
    if (number >= range.minimum && number <= range.maximum) {
        return {};
    }
    if (range.maximum == Range().maximum) {
        return fmt::format("must be at least {}", range.minimum);
    }
    return fmt::format("must be between {} and {}", range.minimum, range.maximum);
}

template <typename Number>
std::string parseInteger(const std::string &text, const Range &range, Number &value)
{
    if (!parseNumber(text, value)) {
        return fmt::format("must be a whole number from 0 to {}", std::numeric_limits<Number>::max());
    }
    return rangeProblem(value, range);
}

bool isUtf8(std::string_view text)
{
    for (std::size_t n = 0; n < text.size();) {
        const auto lead = static_cast<unsigned char>(text[n]);
        const std::size_t length = lead < 0x80 ? 1 : (lead >> 5) == 0x6 ? 2 : (lead >> 4) == 0xe ? 3 : (lead >> 3) == 0x1e ? 4 : 0;
        if (length == 0 || n + length > text.size()) {
            return false;
        }
        for (std::size_t k = 1; k < length; ++k) {
            if ((static_cast<unsigned char>(text[n + k]) & 0xc0) != 0x80) {
                return false;
            }
        }
        n += length;
    }
    return true;
}

bool hasControlCharacter(std::string_view text)
{
    for (const char it : text) {
        const auto code = static_cast<unsigned char>(it);
        if (code < ' ' || code == 0x7f) {
            return true;
        }
    }
    return false;
}

} // namespace

std::optional<Duration> parseDuration(std::string_view text, DurationUnits units)
{
    for (const auto &it : Units) {
        const bool allowed = units == DurationUnits::All || it.length == Duration(1s) || it.length == Duration(1ms);
        if (!allowed || !text.ends_with(it.name)) {
            continue;
        }
        if (const auto value = multiply(text.substr(0, text.size() - it.name.size()), it.length)) {
            return value;
        }
    }
    return std::nullopt;
}

std::string formatDuration(Duration value)
{
    for (const auto &it : Units) {
        if (value.count() != 0 && value % it.length == Duration::zero()) {
            return fmt::format("{}{}", value / it.length, it.name);
        }
    }
    return "0s";
}

std::optional<WallTime> parseTime(std::string_view text)
{
    constexpr std::string_view Pattern = "dddd-dd-ddTdd:dd:ddZ";
    if (text.size() != Pattern.size()) {
        return std::nullopt;
    }
    for (std::size_t n = 0; n < text.size(); ++n) {
        const bool digit = text[n] >= '0' && text[n] <= '9';
        if (Pattern[n] == 'd' ? !digit : text[n] != Pattern[n]) {
            return std::nullopt;
        }
    }
    const auto number = [text](std::size_t first, std::size_t length) {
        int value = 0;
        parseNumber(text.substr(first, length), value);
        return value;
    };
    const auto month = std::chrono::month(static_cast<unsigned>(number(5, 2)));
    const auto day = std::chrono::day(static_cast<unsigned>(number(8, 2)));
    const std::chrono::year_month_day date(std::chrono::year(number(0, 4)), month, day);
    // Times of day are counted in 64-bit nanoseconds, which end in the year 2262.
    const bool representable = date.ok() && number(0, 4) >= 1970 && number(0, 4) <= 2200;
    if (!representable || number(11, 2) > 23 || number(14, 2) > 59 || number(17, 2) > 59) {
        return std::nullopt;
    }
    const auto time = std::chrono::hours(number(11, 2)) + std::chrono::minutes(number(14, 2)) + std::chrono::seconds(number(17, 2));
    return std::chrono::sys_days(date) + time;
}

std::string formatTime(WallTime value)
{
    const auto days = std::chrono::floor<std::chrono::days>(value);
    const std::chrono::year_month_day date(days);
    const std::chrono::hh_mm_ss time(std::chrono::floor<std::chrono::seconds>(value - days));
    return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}Z",
                       static_cast<int>(date.year()),
                       static_cast<unsigned>(date.month()),
                       static_cast<unsigned>(date.day()),
                       time.hours().count(),
                       time.minutes().count(),
                       time.seconds().count());
}

std::string nameProblem(std::string_view text)
{
    constexpr std::string_view Allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    if (text.empty() || text.size() > MaximumNameBytes || text.find_first_not_of(Allowed) != std::string_view::npos) {
        return fmt::format("must be a name of 1 to {} letters, digits, '.', '_' or '-'", MaximumNameBytes);
    }
    return {};
}

std::string parseScalar(const std::string &text, const Range &, std::string &value)
{
    value = text;
    if (text.find_first_not_of(' ') == std::string::npos) {
        return "must not be empty";
    }
    if (text.size() > MaximumTextBytes) {
        return fmt::format("must be at most {} bytes long", MaximumTextBytes);
    }
    if (!isUtf8(text) || hasControlCharacter(text)) {
        return "must be one line of UTF-8 text without control characters";
    }
    return {};
}

std::string parseScalar(const std::string &text, const Range &, bool &value)
{
    if (text != "true" && text != "false") {
        return "must be true or false";
    }
    value = text == "true";
    return {};
}

std::string parseScalar(const std::string &text, const Range &range, std::uint16_t &value)
{
    return parseInteger(text, range, value);
}

std::string parseScalar(const std::string &text, const Range &range, std::uint32_t &value)
{
    return parseInteger(text, range, value);
}

std::string parseScalar(const std::string &text, const Range &range, std::uint64_t &value)
{
    return parseInteger(text, range, value);
}

std::string parseScalar(const std::string &text, const Range &range, double &value)
{
    if (!parseNumber(text, value) || !std::isfinite(value)) {
        return "must be a number";
    }
    return rangeProblem(value, range);
}

std::string parseScalar(const std::string &text, const Range &range, Duration &value)
{
    const auto parsed = parseDuration(text);
    if (!parsed) {
        return "must be a duration such as 250ms, 1.5s, 10m or 24h, at most 366 days";
    }
    value = *parsed;
    if (rangeProblem(value.count(), range).empty()) {
        return {};
    }
    const auto bound = [](double nanoseconds) {
        return formatDuration(Duration(static_cast<Duration::rep>(nanoseconds)));
    };
    return fmt::format("must be between {} and {}", bound(range.minimum), bound(range.maximum));
}

std::string parseScalar(const std::string &text, const Range &, WallTime &value)
{
    const auto parsed = parseTime(text);
    if (!parsed) {
        return "must be a UTC time such as 2026-12-31T23:00:00Z";
    }
    value = *parsed;
    return {};
}

std::string formatScalar(bool value)
{
    return value ? "true" : "false";
}

std::string formatScalar(std::uint32_t value)
{
    return fmt::format("{}", value);
}

std::string formatScalar(std::uint64_t value)
{
    return fmt::format("{}", value);
}

std::string formatScalar(double value)
{
    return fmt::format("{}", value);
}

std::string formatScalar(Duration value)
{
    return formatDuration(value);
}

std::string formatScalar(WallTime value)
{
    return formatTime(value);
}

std::string formatScalar(const std::string &value)
{
    return value;
}

} // namespace Pimentohollow
