#pragma once

#include "base/clock.h"
#include "model/ids.h"
#include "rootadmission/workspaceratelimiter.h"

#include <string>

namespace vanillatack {

/// Names of the request and response headers used between callers, nodes and instances.
struct HeaderNames {
    std::string attemptId; ///< Id that a caller gives to each of its attempts; instances copy it to their responses.
    std::string timeLeft; ///< Milliseconds until the sender, a caller or a node, stops waiting.
    std::string key; ///< The caller's credential; never forwarded.
    std::string workspace; ///< Workspace of the caller's key, sent to the instance.
    std::string callerService; ///< Service of the node that received the request, sent to the instance.
    std::string expectedInstance; ///< Id of the addressed instance; other instances refuse the request.
    std::string notExecuted; ///< Set by an instance that did not run the request.
    std::string signature; ///< Set by an instance on the answers that it produced.
    /// Requests per second that an instance accepts from the whole fleet; set in its responses while it is limited.
    std::string requestLimit;
    std::string leaving; ///< Set to "1" in the responses of an instance that is about to stop.
};

/// Settings of one node.
struct ProxySettings {
    NodeName node;
    ZoneName zone;
    ServiceName service; ///< Service of the local instance.
    Endpoint callerEndpoint; ///< Address to which callers and the local instance send requests.
    Endpoint peerEndpoint; ///< Address to which other nodes send calls and reports.
    Endpoint instanceEndpoint; ///< Address of the local instance.
    HeaderNames headers;
    Duration announceInterval = std::chrono::milliseconds(1500); ///< Time between two announcements of the instance.
    /// Keys are accepted only while the last confirmation of the configuration is no older than this.
    Duration keyGrace = std::chrono::seconds(4);
    Duration shutdownGrace = std::chrono::seconds(6); ///< Time from the stop signal until the process is killed.
    RateTolerance rateTolerance;
    int retryPercent = 9; ///< Retries per 100 root requests to a service.
    /// Retries per 100 inner calls to a service. Smaller than for root requests, since a retried request makes all its
    /// calls again, and the retries of every hop add up at the deepest service.
    int innerCallRetryPercent = 2;
    /// Root request retries per service in any 10 s that this node allows in addition to retryPercent; none if
    /// retryPercent is 0.
    int freeRetries = 0;
    /// Bytes held at a time for callers, the instance, other nodes and the store together; see MemoryBudget. What
    /// exceeds them is refused as not run, waits unread or, if it is an answer, is lost.
    std::size_t memoryBytes = std::size_t{128} << 20;
    /// Connections of callers above which idle ones are closed.
    std::size_t maxCallerConnections = 3000;
    /// Connections of other nodes above which idle ones are closed.
    std::size_t maxPeerConnections = 400;
    int logDescriptor = 1; ///< File descriptor of the decision log; standard output by default.
};

} // namespace vanillatack
