#include "core/logger.h"

#include <atomic>
#include <chrono>
#include <fcntl.h>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <unistd.h>

namespace Pimentohollow
{

namespace
{

std::atomic<LogLevel> lowestLevel{ LogLevel::Info };
std::atomic<int> outputFd{ -1 };
std::atomic<unsigned> linesPerSecond{ 0 };
std::atomic<std::uint64_t> dropped{ 0 };

/** Lines left in the present second, for one class of levels. */
struct LineBudget {
    std::atomic<std::int64_t> second{ 0 };
    std::atomic<unsigned> used{ 0 };

    bool take(std::int64_t now)
    {
        if (second.exchange(now) != now) {
            used = 0;
        }
        return used.fetch_add(1) < linesPerSecond.load();
    }
};

LineBudget ordinaryLines;
LineBudget urgentLines;

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

void Logger::writeTo(int fd, unsigned maximumLinesPerSecond)
{
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK);
    linesPerSecond = maximumLinesPerSecond;
    outputFd = fd;
}

std::uint64_t Logger::droppedLines()
{
    return dropped;
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
    const int fd = outputFd.load();
    if (fd >= 0) {
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
        if (!(level < LogLevel::Warning ? ordinaryLines : urgentLines).take(second)) {
            ++dropped;
            return;
        }
    }
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto millis = now.time_since_epoch().count() % 1000;
    const auto seconds = std::chrono::system_clock::to_time_t(now);
    const std::string line =
        fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z {}\n", fmt::gmtime(seconds), millis, format(level, m_component, event, fields));
    if (fd < 0) {
        fmt::print(stderr, "{}", line);
    } else if (::write(fd, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
        ++dropped;
    }
}

} // namespace Pimentohollow
