#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "routing/irouter.h"

#include <cstddef>
#include <memory>

namespace vanillatack {

/// Limits and time constants of routing.
struct RoutingSettings {
    NodeName node; ///< This node's name; input of the hash that chooses its peers, which thus differ between nodes.
    ZoneName zone; ///< Own zone, whose instances are preferred.

    std::size_t maxPeers = 12; ///< Limit per service, so that connections do not grow with the fleet.
    std::size_t reservedForOtherZones = 4; ///< Peers kept for other zones when the own zone alone would fill maxPeers.

    double slowStartWeight = 0.1; ///< Initial weight; doubles every slowStartStep until it reaches 1.
    Duration slowStartStep = std::chrono::seconds(1);

    /// An instance is ejected at either limit, if its failure ratio is also more than twice the mean of the other
    /// peers.
    int failuresToEject = 5; ///< Consecutive failures; a Broken outcome counts twice.
    double failureRatioToEject = 0.5;
    Duration ejectionBase = std::chrono::seconds(3); ///< Doubles with each further ejection.
    Duration ejectionMax = std::chrono::seconds(60);
    Duration connectBackoffBase = std::chrono::seconds(1); ///< Doubles with each consecutive failure.
    Duration connectBackoffMax = std::chrono::seconds(10);
    Duration scoreHalfLife = std::chrono::seconds(5); ///< Half-life of failure ratios and latencies between samples.
    Duration refusalHalfLife = std::chrono::milliseconds(500);
    double slowFactor = 2.0; ///< Multiple of the median latency above which an instance is slow.

    Duration levelLifetime = std::chrono::seconds(1); ///< Older levels are ignored.
    /// Time constant of smoothing, which is needed because levels differ between instances of a service.
    Duration levelSmoothing = std::chrono::milliseconds(100);
    Duration levelProbeAge = std::chrono::milliseconds(100); ///< Age of the levels at which a probe is let through.
    int refusalsPerProbe = 256; ///< One in this many refused requests is let through as a probe.
    /// Smallest share of a route's requests that must reach a service for it to be on the usual path.
    double usualPathRatio = 0.5;
};

/// The references must outlive the result.
std::unique_ptr<IRouter> makeRouter(IClock &clock, IRandom &random, const RoutingSettings &settings);

} // namespace vanillatack
