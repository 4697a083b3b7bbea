#include "daemon/settings.h"

#include "base/text.h"
#include "model/endpoint.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>

#include <algorithm>
#include <functional>
#include <map>

namespace vanillatack {

namespace {

constexpr std::size_t MinSecretBytes = 16;
constexpr int MaxShareSlot = 63;

bool isName(const std::string &text)
{
    return !text.empty() && text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string::npos;
}

void readPort(IniSectionReader &reader, std::string_view name, std::uint16_t &port)
{
    int value = port;
    reader.readInteger(name, value, 1, 65535);
    port = static_cast<std::uint16_t>(value);
}

void readAddress(IniSectionReader &reader, std::string_view name, std::string &address)
{
    reader.readString(name, address);
    if (reader.has(name) && !isIpv4Address(address)) {
        reader.reportAt(name,
                        absl::StrCat("\"", address, "\" is not an IPv4 address."),
                        "Use four numbers from 0 to 255, separated by dots.");
    }
}

void readName(IniSectionReader &reader, std::string_view name, std::string &target)
{
    reader.readString(name, target);
    if (reader.has(name) && !isName(target)) {
        reader.reportAt(name, absl::StrCat("\"", target, "\" is not a valid name."), "Use a-z, 0-9 and -.");
    }
}

void readSecret(IniSectionReader &reader, std::string_view name, std::string &secret)
{
    reader.readString(name, secret);
    reader.require(name, "Set it to a random string of at least 16 characters.");
    if (reader.has(name) && secret.size() < MinSecretBytes) {
        reader.reportAt(
            name, absl::StrCat(asAbsl(name), " is too short."), "Use a random string of at least 16 characters.");
    }
}

void readNode(IniSectionReader &reader, DaemonSettings &settings)
{
    readName(reader, "name", settings.name.value);
    readName(reader, "zone", settings.zone.value);
    readAddress(reader, "address", settings.address);
    readAddress(reader, "local_address", settings.localAddress);
    readPort(reader, "node_port", settings.nodePort);
    readPort(reader, "caller_port", settings.callerPort);
    readPort(reader, "local_port", settings.localPort);
    readPort(reader, "admin_port", settings.adminPort);
    readPort(reader, "metrics_port", settings.metricsPort);
    reader.readInteger("share_slot", settings.shareSlot, -1, MaxShareSlot);
    reader.require("name", "Set it to a name that is unique in the fleet.");
    reader.require("zone", "Set it to the availability zone of this VM.");
    reader.require("address", "Set it to the IPv4 address of this VM.");
    std::vector<std::string> seeds;
    reader.readList("seeds", seeds);
    for (const std::string &seed : seeds) {
        const std::optional<Endpoint> endpoint = parseEndpoint(seed);
        if (endpoint) {
            settings.seeds.push_back(*endpoint);
        } else {
            reader.reportAt("seeds",
                            absl::StrCat("\"", seed, "\" is not an IPv4 address with a port."),
                            "Use ADDRESS:PORT, such as 10.0.0.1:7400.");
        }
    }
}

void readSecurity(IniSectionReader &reader, DaemonSettings &settings)
{
    readSecret(reader, "fleet_secret", settings.fleetSecret);
    readSecret(reader, "operator_credential", settings.operatorCredential);
}

void readPlatform(IniSectionReader &reader, DaemonSettings &settings)
{
    std::string address;
    reader.readBool("embedded", settings.embeddedPlatform);
    reader.readString("address", address);
    if (settings.embeddedPlatform) {
        return;
    }
    reader.require("address", "Set address = IP:PORT of the platform, or embedded = yes for a single node.");
    const std::optional<Endpoint> endpoint = parseEndpoint(address);
    if (endpoint) {
        settings.platform = *endpoint;
    } else if (reader.has("address")) {
        reader.reportAt("address",
                        absl::StrCat("\"", address, "\" is not an IPv4 address with a port."),
                        "Use ADDRESS:PORT, such as 10.0.0.1:7300.");
    }
}

void readLimits(IniSectionReader &reader, DaemonSettings &settings)
{
    reader.readInteger("max_connections", settings.maxConnections, 8, 20000);
    reader.readInteger("max_head_bytes", settings.maxHeadBytes, 1024, 1024 * 1024);
    reader.readInteger("max_body_bytes", settings.maxBodyBytes, 1024, 16 * 1024 * 1024);
    reader.readInteger("max_message_memory_mb", settings.maxMessageMemoryMb, 128, 65536);
    reader.readDuration("idle_timeout", settings.idleTimeout, std::chrono::seconds(1), std::chrono::hours(1));
    reader.readDuration("drain_period", settings.drainPeriod, std::chrono::milliseconds(100), std::chrono::minutes(5));
    reader.readDuration(
        "shutdown_timeout", settings.shutdownTimeout, std::chrono::seconds(1), std::chrono::minutes(10));
}

void readLog(IniSectionReader &reader, DaemonSettings &settings)
{
    reader.readEnum("level", settings.logLevel, LogLevelNames);
}

using SectionFunction = void (*)(IniSectionReader &, DaemonSettings &);

const std::map<std::string, SectionFunction> &sectionFunctions()
{
    static const std::map<std::string, SectionFunction> functions = {
        {"node", readNode},
        {"security", readSecurity},
        {"platform", readPlatform},
        {"limits", readLimits},
        {"log", readLog},
    };
    return functions;
}

void checkPorts(const DaemonSettings &settings, std::string_view file, std::vector<TextProblem> &problems)
{
    std::vector<std::uint16_t> ports = {
        settings.nodePort, settings.callerPort, settings.localPort, settings.adminPort, settings.metricsPort};
    std::sort(ports.begin(), ports.end());
    if (std::adjacent_find(ports.begin(), ports.end()) != ports.end()) {
        problems.push_back({std::string(file),
                            0,
                            absl::StrCat("Two ports of [node] have the same number: node_port = ",
                                         settings.nodePort,
                                         ", caller_port = ",
                                         settings.callerPort,
                                         ", local_port = ",
                                         settings.localPort,
                                         ", admin_port = ",
                                         settings.adminPort,
                                         ", metrics_port = ",
                                         settings.metricsPort,
                                         "."),
                            "Use a different number for each port."});
    }
}

} // namespace

std::optional<DaemonSettings>
parseDaemonSettings(std::string_view text, std::string_view file, std::vector<TextProblem> &problems)
{
    DaemonSettings settings;
    const std::size_t problemsBefore = problems.size();
    const IniDocument document = IniDocument::parse(text, file, problems);
    std::map<std::string, int> sectionCounts;
    for (const IniSection &section : document.sections()) {
        const auto function = sectionFunctions().find(section.kind);
        if (function == sectionFunctions().end() || !section.name.empty()) {
            problems.push_back({document.file(),
                                section.line,
                                absl::StrCat("Unknown section [", section.kind, "]."),
                                "Use [node], [security], [platform], [limits] or [log]."});
            continue;
        }
        if (++sectionCounts[section.kind] > 1) {
            problems.push_back({document.file(),
                                section.line,
                                absl::StrCat("Section [", section.kind, "] appears twice."),
                                "Merge the two sections."});
        }
        IniSectionReader reader(document, section, problems);
        function->second(reader, settings);
        reader.reportUnknown();
    }
    for (const char *required : {"node", "security", "platform"}) {
        if (sectionCounts.count(required) == 0) {
            problems.push_back({document.file(),
                                0,
                                absl::StrCat("The section [", required, "] is missing."),
                                "See docs/settings.md for an example."});
        }
    }
    checkPorts(settings, file, problems);
    return problems.size() == problemsBefore ? std::optional<DaemonSettings>(settings) : std::nullopt;
}

} // namespace vanillatack
