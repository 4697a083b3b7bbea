#pragma once

#include "base/nametable.h"

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

/// A structured field of a log line. Values are quoted when they hold spaces. Keys of callers never go here.
using LogField = std::pair<std::string_view, std::string>;

/// Sets the lowest level that is written. Lines go to standard error, one each:
/// "<UTC time> <level> <part>: <sentence> name=value ...".
void startLogging(LogLevel level);

/// A log with the fixed prefix of one part of the program, e.g. "quota".
class Log
{
public:
    explicit constexpr Log(std::string_view part)
        : m_part(part)
    {
    }

    void debug(std::string_view sentence, std::initializer_list<LogField> fields = {}) const;
    void info(std::string_view sentence, std::initializer_list<LogField> fields = {}) const;
    void warning(std::string_view sentence, std::initializer_list<LogField> fields = {}) const;
    void error(std::string_view sentence, std::initializer_list<LogField> fields = {}) const;

private:
    std::string_view m_part;
};

} // namespace vanillatack
