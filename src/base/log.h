#pragma once

#include "base/nametable.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace vanillatack {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
    Off,
};

inline constexpr auto LogLevelNames = makeNameTable<LogLevel, 5>({
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
    {LogLevel::Off, "off"},
});

/// Structured field of a log line. Values are quoted if they contain spaces. Callers' keys must never be logged.
using LogField = std::pair<std::string_view, std::string>;

/// Sets the lowest level that is written. Log lines go to standard error, one per message:
/// "<UTC time> <level> <component>: <message> name=value ...". Never blocks; see LogOutput.
void startLogging(LogLevel level);

/// Waits until all lines are written, at most for a moment. Call before the process exits.
void flushLogging();

/// Lines that were dropped because the reader of standard error does not keep up.
std::uint64_t droppedLogLines();

/// Log of one component of the program; the component's name, e.g. "quota", precedes every message.
class Log
{
public:
    explicit constexpr Log(std::string_view component)
        : m_component(component)
    {
    }

    void debug(std::string_view message, std::initializer_list<LogField> fields = {}) const;
    void info(std::string_view message, std::initializer_list<LogField> fields = {}) const;
    void warning(std::string_view message, std::initializer_list<LogField> fields = {}) const;
    void error(std::string_view message, std::initializer_list<LogField> fields = {}) const;

private:
    std::string_view m_component;
};

} // namespace vanillatack
