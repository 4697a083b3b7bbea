#include "bench/loadplan.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace vanillatack {

namespace {

constexpr std::chrono::minutes MaxDuration{60};

std::vector<Endpoint> readTargets(IniSectionReader &reader)
{
    std::vector<std::string> texts;
    std::vector<Endpoint> targets;
    reader.readList("targets", texts);
    reader.require("targets", "Add targets = IP:PORT, IP:PORT.");
    for (const std::string &text : texts) {
        const std::pair<std::string, std::string> parts = absl::StrSplit(text, absl::MaxSplits(':', 1));
        int port = 0;
        if (!absl::SimpleAtoi(parts.second, &port) || port < 1 || port > 65535) {
            reader.reportAt("targets", "\"" + text + "\" is not an address and port.", "Write 127.0.0.1:7480.");
            continue;
        }
        targets.push_back({parts.first, static_cast<std::uint16_t>(port)});
    }
    return targets;
}

void readLoad(IniSectionReader &reader, LoadPlan &plan)
{
    reader.readDuration("duration", plan.duration, std::chrono::milliseconds(100), MaxDuration);
    reader.readDuration("warmup", plan.warmup, Duration::zero(), MaxDuration);
    reader.readDuration("client_deadline", plan.clientDeadline, std::chrono::milliseconds(1), MaxDuration);
    reader.readInteger("retries", plan.retries, 0, 100);
    reader.readDuration("retry_delay", plan.retryDelay, Duration::zero(), MaxDuration);
    reader.readInteger("seed", plan.seed, std::int64_t{0}, std::int64_t{1} << 62);
    reader.readInteger("max_clients", plan.maxClients, 1, 20000);
    reader.readDuration("recovery_from", plan.recoveryFrom, Duration::zero(), MaxDuration);
    reader.readDuration("baseline_until", plan.baselineUntil, Duration::zero(), MaxDuration);
}

LoadStream readStream(IniSectionReader &reader, const std::string &name)
{
    LoadStream stream;
    stream.name = name;
    stream.group = name;
    reader.readString("group", stream.group);
    stream.targets = readTargets(reader);
    reader.readString("method", stream.method);
    reader.readString("path", stream.path);
    reader.readString("key", stream.key);
    reader.readBool("operation", stream.operation);
    reader.readBool("idempotency_key", stream.idempotencyKey);
    reader.readInteger("rate", stream.rate, 1, 1'000'000);
    reader.readDuration("surge_from", stream.surgeFrom, Duration::zero(), MaxDuration);
    reader.readDuration("surge_until", stream.surgeUntil, Duration::zero(), MaxDuration);
    reader.readInteger("surge_percent", stream.surgePercent, 0, 100'000);
    return stream;
}

LoadEvent readEvent(IniSectionReader &reader, const std::string &name)
{
    LoadEvent event;
    event.name = name;
    reader.readDuration("at", event.at, Duration::zero(), MaxDuration);
    event.targets = readTargets(reader);
    reader.readString("path", event.path);
    return event;
}

} // namespace

std::optional<LoadPlan> parseLoadPlan(std::string_view text, std::string_view file, std::vector<TextProblem> &problems)
{
    LoadPlan plan;
    const IniDocument document = IniDocument::parse(text, file, problems);
    for (const IniSection &section : document.sections()) {
        IniSectionReader reader(document, section, problems);
        if (section.kind == "load") {
            readLoad(reader, plan);
        } else if (section.kind == "stream") {
            plan.streams.push_back(readStream(reader, section.name));
        } else if (section.kind == "event") {
            plan.events.push_back(readEvent(reader, section.name));
        } else {
            problems.push_back({document.file(),
                                section.line,
                                "Unknown section [" + section.kind + "].",
                                "Use [load], [stream NAME] or [event NAME]."});
            continue;
        }
        reader.reportUnknown();
    }
    if (plan.streams.empty()) {
        problems.push_back({document.file(), 0, "The plan has no stream.", "Add a section [stream NAME]."});
    }
    return problems.empty() ? std::optional<LoadPlan>(plan) : std::nullopt;
}

} // namespace vanillatack
