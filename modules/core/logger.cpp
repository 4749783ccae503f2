#include "core/logger.h"

#include <atomic>
#include <chrono>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace Pimentohollow
{

namespace
{

std::atomic<LogLevel> lowestLevel{ LogLevel::Info };

bool needsQuotes(std::string_view value)
{
    if (value.empty()) {
        return true;
    }
    for (const char it : value) {
        const auto code = static_cast<unsigned char>(it);
        if (code <= ' ' || code == 0x7f || it == '"' || it == '=' || it == '\\') {
            return true;
        }
    }
    return false;
}

void appendValue(std::string &line, std::string_view value)
{
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char it : value) {
        const auto code = static_cast<unsigned char>(it);
        if (it == '"' || it == '\\') {
            line += '\\';
            line += it;
        } else if (code < ' ' || code == 0x7f) {
            line += fmt::format("\\x{:02x}", code);
        } else {
            line += it;
        }
    }
    line += '"';
}

} // namespace

Logger::Logger(std::string component)
    : m_component(std::move(component))
{
}

void Logger::debug(std::string_view event, std::initializer_list<LogField> fields) const
{
    write(LogLevel::Debug, event, fields);
}

void Logger::info(std::string_view event, std::initializer_list<LogField> fields) const
{
    write(LogLevel::Info, event, fields);
}

void Logger::warning(std::string_view event, std::initializer_list<LogField> fields) const
{
    write(LogLevel::Warning, event, fields);
}

void Logger::error(std::string_view event, std::initializer_list<LogField> fields) const
{
    write(LogLevel::Error, event, fields);
}

void Logger::setLevel(LogLevel level)
{
    lowestLevel = level;
}

std::string Logger::format(LogLevel level, std::string_view component, std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = fmt::format("level={} component={} event=", LogLevelNames.name(level), component);
    appendValue(line, event);
    for (const auto &it : fields) {
        line += ' ';
        line += it.key;
        line += '=';
        appendValue(line, it.value);
    }
    return line;
}

void Logger::write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) const
{
    if (level < lowestLevel.load()) {
        return;
    }
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto millis = now.time_since_epoch().count() % 1000;
    const auto seconds = std::chrono::system_clock::to_time_t(now);
    const std::string line =
        fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z {}\n", fmt::gmtime(seconds), millis, format(level, m_component, event, fields));
    fmt::print(stderr, "{}", line);
}

} // namespace Pimentohollow
