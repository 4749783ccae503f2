#pragma once

#include "core/clock.h"
#include "core/names.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace Pimentohollow
{

/** Inclusive bounds of a number, or of a duration in nanoseconds. */
struct Range {
    double minimum = std::numeric_limits<double>::lowest();
    double maximum = std::numeric_limits<double>::max();
};

constexpr Range durationRange(Duration minimum, Duration maximum)
{
    return { static_cast<double>(minimum.count()), static_cast<double>(maximum.count()) };
}

/** Units in which a duration may be written. */
enum class DurationUnits : std::uint8_t {
    All, ///< d, h, m, s, ms, us, ns
    SecondsAndMilliseconds, ///< s, ms
};

/**
 * A number that isn't negative, and its unit: "250ms", "1.5s", "10m" or "24h". Fractions are rounded to nanoseconds. Nothing if malformed
 * or longer than 366 days.
 */
std::optional<Duration> parseDuration(std::string_view text, DurationUnits units = DurationUnits::All);
std::string formatDuration(Duration value);

/** UTC time as in RFC 3339 with whole seconds, for example "2026-12-31T23:00:00Z". */
std::optional<WallTime> parseTime(std::string_view text);
std::string formatTime(WallTime value);

/**
 * Converts the text of a field to its type.
 * @return what is wrong with the text; empty on success
 */
std::string parseScalar(const std::string &text, const Range &range, std::string &value);
std::string parseScalar(const std::string &text, const Range &range, bool &value);
std::string parseScalar(const std::string &text, const Range &range, std::uint16_t &value);
std::string parseScalar(const std::string &text, const Range &range, std::uint32_t &value);
std::string parseScalar(const std::string &text, const Range &range, std::uint64_t &value);
std::string parseScalar(const std::string &text, const Range &range, double &value);
std::string parseScalar(const std::string &text, const Range &range, Duration &value);
std::string parseScalar(const std::string &text, const Range &range, WallTime &value);

/** Names are 1 to 64 letters, digits, '.', '_' or '-', so that they are safe in row keys, paths and logs. */
std::string nameProblem(std::string_view text);

template <typename Tag>
std::string parseScalar(const std::string &text, const Range &, Name<Tag> &value)
{
    value = Name<Tag>(text);
    return nameProblem(text);
}

std::string formatScalar(bool value);
std::string formatScalar(std::uint32_t value);
std::string formatScalar(std::uint64_t value);
std::string formatScalar(double value);
std::string formatScalar(Duration value);
std::string formatScalar(WallTime value);
std::string formatScalar(const std::string &value);

template <typename Tag>
std::string formatScalar(const Name<Tag> &value)
{
    return value.text();
}

} // namespace Pimentohollow
