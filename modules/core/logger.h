#pragma once

#include "core/enumtable.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace Pimentohollow
{

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

inline constexpr auto LogLevelNames = makeEnumTable<LogLevel>({
    { LogLevel::Debug, "debug" },
    { LogLevel::Info, "info" },
    { LogLevel::Warning, "warning" },
    { LogLevel::Error, "error" },
});

/** One key and value of a log line. */
struct LogField {
    std::string_view key;
    std::string value;
};

/**
 * Writes structured log lines ("time=... level=... component=... event=... key=value") to standard error, or where writeTo() says.
 * Each line is one write; values with spaces, quotes or control characters are quoted and escaped. Thread-safe.
 */
class Logger
{
public:
    /** @param component the module or task that logs, for example "membership" */
    explicit Logger(std::string component);

    void debug(std::string_view event, std::initializer_list<LogField> fields = {}) const;
    void info(std::string_view event, std::initializer_list<LogField> fields = {}) const;
    void warning(std::string_view event, std::initializer_list<LogField> fields = {}) const;
    void error(std::string_view event, std::initializer_list<LogField> fields = {}) const;

    /** Sets the lowest level that is written, for the whole process. */
    static void setLevel(LogLevel level);

    /**
     * Writes to @p fd from now on, without ever blocking: a line that @p fd doesn't take is dropped, and so are lines beyond
     * @p linesPerSecond. Warnings and errors have a budget of their own of the same size.
     */
    static void writeTo(int fd, unsigned linesPerSecond);
    /** Lines dropped since the start. */
    static std::uint64_t droppedLines();

    /** The text of a line without its time, separate so that tests can check the escaping. */
    static std::string format(LogLevel level, std::string_view component, std::string_view event, std::initializer_list<LogField> fields);

private:
    void write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) const;

    std::string m_component;
};

} // namespace Pimentohollow
