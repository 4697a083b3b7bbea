#include "base/log.h"

#include "base/logoutput.h"
#include "base/text.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>

#include <atomic>

#include <unistd.h>

namespace vanillatack {

namespace {

namespace sinks = boost::log::sinks;

std::string currentTime()
{
    return absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(), absl::UTCTimeZone());
}

// Off until startLogging(), so that tests do not print log lines.
std::atomic<LogLevel> lowestLevel{LogLevel::Off};

/// Time for which the end of the process waits for the reader of standard error.
constexpr Duration FlushTimeout = std::chrono::milliseconds(50);

LogOutput &standardError()
{
    static auto *const output = new LogOutput(STDERR_FILENO); // Used by other threads until the process has ended.
    return *output;
}

class StandardErrorBackend final : public sinks::basic_formatted_sink_backend<char, sinks::concurrent_feeding>
{
public:
    void consume(const boost::log::record_view & /*record*/, const std::string &line)
    {
        if (!standardError().write(line + "\n")) {
            return;
        }
        const std::uint64_t dropped = standardError().droppedLines();
        if (const std::uint64_t reported = m_reportedLines.exchange(dropped); reported < dropped) {
            (void)standardError().write(absl::StrCat(currentTime(),
                                                     " warning log: Lines were dropped because the reader of standard "
                                                     "error does not keep up. lines=",
                                                     dropped - reported,
                                                     "\n"));
        }
    }

private:
    std::atomic<std::uint64_t> m_reportedLines{0};
};

void addStandardErrorSink()
{
    using Sink = sinks::synchronous_sink<StandardErrorBackend>;
    boost::log::core::get()->add_sink(boost::make_shared<Sink>(boost::make_shared<StandardErrorBackend>()));
}

std::string fieldText(const LogField &field)
{
    const bool plain = field.second.find_first_of(" \"=\n\t") == std::string::npos && !field.second.empty();
    const std::string value = plain ? field.second : absl::StrCat("\"", absl::CEscape(field.second), "\"");
    return absl::StrCat(" ", asAbsl(field.first), "=", value);
}

void write(LogLevel level,
           std::string_view component,
           std::string_view message,
           const std::initializer_list<LogField> &fields)
{
    if (level < lowestLevel.load(std::memory_order_relaxed)) {
        return;
    }
    std::string line = absl::StrCat(
        currentTime(), " ", asAbsl(LogLevelNames.name(level)), " ", asAbsl(component), ": ", asAbsl(message));
    for (const LogField &field : fields) {
        line += fieldText(field);
    }
    thread_local boost::log::sources::severity_logger<LogLevel> logger;
    BOOST_LOG_SEV(logger, level) << line;
}

} // namespace

void startLogging(LogLevel level)
{
    static const bool once = (addStandardErrorSink(), true);
    (void)once;
    lowestLevel = level;
}

void flushLogging()
{
    if (lowestLevel.load(std::memory_order_relaxed) != LogLevel::Off) {
        (void)standardError().flush(FlushTimeout);
    }
}

std::uint64_t droppedLogLines()
{
    return lowestLevel.load(std::memory_order_relaxed) == LogLevel::Off ? 0 : standardError().droppedLines();
}

void Log::debug(std::string_view message, std::initializer_list<LogField> fields) const
{
    write(LogLevel::Debug, m_component, message, fields);
}

void Log::info(std::string_view message, std::initializer_list<LogField> fields) const
{
    write(LogLevel::Info, m_component, message, fields);
}

void Log::warning(std::string_view message, std::initializer_list<LogField> fields) const
{
    write(LogLevel::Warning, m_component, message, fields);
}

void Log::error(std::string_view message, std::initializer_list<LogField> fields) const
{
    write(LogLevel::Error, m_component, message, fields);
}

} // namespace vanillatack
