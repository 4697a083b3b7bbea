#pragma once

#include "base/clock.h"
#include "model/ids.h"
#include "rootadmission/workspaceratelimiter.h"

#include <string>

namespace vanillatack {

/// Names of the headers that carry what callers, nodes and instances tell each other about a request.
struct HeaderNames {
    std::string attemptId; ///< Id of one attempt of a caller; instances repeat it in their answers.
    std::string timeLeft; ///< Milliseconds that the caller, or the node, still waits.
    std::string key; ///< The caller's credential; never passed on.
    std::string workspace; ///< Tells the instance whose key came with the request.
    std::string callerService; ///< Tells the instance on which service's VM the request entered.
    std::string expectedInstance; ///< Any other instance refuses the request.
    std::string notExecuted; ///< Set by an instance that has not run the request.
    std::string signature; ///< Set by an instance on answers of its own.
};

/// Settings of one node.
struct ProxySettings {
    NodeName node;
    ZoneName zone;
    ServiceName service; ///< Of the instance beside the node.
    Endpoint callerEndpoint; ///< Where callers and the own instance send requests.
    Endpoint peerEndpoint; ///< Where other nodes send calls and reports.
    Endpoint instanceEndpoint;
    HeaderNames headers;
    Duration announceInterval = std::chrono::milliseconds(1500); ///< Of the instance.
    Duration keyGrace = std::chrono::seconds(4); ///< Longest age of a confirmed configuration for accepting keys.
    Duration shutdownGrace = std::chrono::seconds(6); ///< Between the signal to stop and being killed.
    RateTolerance rateTolerance;
    int retryPercent = 9; ///< Repeated attempts for 100 requests of callers to a service.
    /// The same for calls that instances make. Smaller, since a repeated request repeats all its calls as well, and
    /// the repeated calls of each hop add up at the deepest service.
    int innerCallRetryPercent = 2;
    int freeRetries = 0; ///< Further repeated attempts of this node, in ten seconds.
    int logDescriptor = 1; ///< Where decisions are written; standard output.
};

} // namespace vanillatack
