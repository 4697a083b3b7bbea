#pragma once

#include "base/inidocument.h"
#include "base/log.h"
#include "model/ids.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillatack {

/// Settings of a node, read from an INI file at start. See docs/settings.md.
struct DaemonSettings {
    // [node]
    NodeName name;
    ZoneName zone;
    std::string address; ///< IPv4 address of this VM, used between nodes and for callers.
    std::string localAddress = "127.0.0.1"; ///< IPv4 address at which the local instance reaches the node.
    std::uint16_t nodePort = 7400; ///< For TCP and UDP between nodes.
    std::uint16_t callerPort = 7480; ///< HTTP port for root requests of outside callers.
    std::uint16_t localPort = 7481; ///< HTTP port for the local instance.
    std::uint16_t adminPort = 7482; ///< HTTP port for operators.
    std::uint16_t metricsPort = 7483; ///< HTTP port for metrics.
    int shareSlot = -1; ///< Quota share slot, 0 to 63; -1 if this node owns no share.
    std::vector<Endpoint> seeds;

    // [security]
    std::string fleetSecret;
    std::string operatorCredential;

    // [platform]
    bool embeddedPlatform = false;
    Endpoint platform;

    // [limits]
    int maxConnections = 2000;
    int maxHeadBytes = 32 * 1024;
    int maxBodyBytes = 1024 * 1024;
    int maxMessageMemoryMb = 256; ///< For all messages together, in MiB; see MemoryBudget.
    Duration idleTimeout = std::chrono::seconds(60);
    Duration drainPeriod = std::chrono::seconds(3); ///< Minimum time from the start of a shutdown to closing the ports.
    Duration shutdownTimeout = std::chrono::seconds(30); ///< Maximum time that a shutdown waits for running requests.

    // [log]
    LogLevel logLevel = LogLevel::Info;
};

/// Parses and validates settings. Appends all problems to the list; nullopt when there are any.
std::optional<DaemonSettings>
parseDaemonSettings(std::string_view text, std::string_view file, std::vector<TextProblem> &problems);

} // namespace vanillatack
