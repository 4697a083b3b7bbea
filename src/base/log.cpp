#include "base/log.h"

#include "base/text.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>

#include <atomic>
#include <iostream>

namespace vanillatack {

namespace {

namespace sinks = boost::log::sinks;

// Off until startLogging(), so that tests do not print log lines.
std::atomic<LogLevel> lowestLevel{LogLevel::Off};

void addStandardErrorSink()
{
    auto backend = boost::make_shared<sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
    backend->auto_flush(true);
    using Sink = sinks::synchronous_sink<sinks::text_ostream_backend>;
    boost::log::core::get()->add_sink(boost::make_shared<Sink>(backend));
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
    const std::string time = absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(), absl::UTCTimeZone());
    std::string line =
        absl::StrCat(time, " ", asAbsl(LogLevelNames.name(level)), " ", asAbsl(component), ": ", asAbsl(message));
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
