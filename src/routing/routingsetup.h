#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "routing/irouter.h"

#include <cstddef>
#include <memory>

namespace vanillatack {

/// Bounds and time constants of routing.
struct RoutingSettings {
    NodeName node; ///< This node; makes the choice of peers differ between nodes.
    ZoneName zone; ///< Own zone, preferred.

    std::size_t maxPeers = 12; ///< Per service, so that connections do not grow with the fleet.
    std::size_t reservedForOtherZones = 4; ///< Of the peers, when the own zone alone would fill them.

    double slowStartWeight = 0.1; ///< Doubles once per slowStartStep until it reaches 1.
    Duration slowStartStep = std::chrono::seconds(1);

    int failuresToEject = 5; ///< In a row, while the peers do better. A broken request counts twice.
    double failureRatioToEject = 0.5; ///< And twice that of the peers.
    Duration ejectionBase = std::chrono::seconds(3); ///< Doubled by each further ejection.
    Duration ejectionMax = std::chrono::seconds(60);
    Duration connectBackoffBase = std::chrono::seconds(1); ///< Doubled by each further failure in a row.
    Duration connectBackoffMax = std::chrono::seconds(10);
    Duration scoreHalfLife = std::chrono::seconds(5); ///< Of failure ratios and latencies without new samples.
    Duration refusalHalfLife = std::chrono::milliseconds(500);
    double slowFactor = 2.0; ///< Latency relative to the median of the peers that counts as slow.

    Duration levelLifetime = std::chrono::seconds(1); ///< Older levels refuse nothing.
    Duration levelSmoothing = std::chrono::milliseconds(100); ///< Levels differ between instances of a service.
    Duration levelProbeAge = std::chrono::milliseconds(100); ///< A request passes when the levels are older.
    int probeShare = 256; ///< One in so many refused requests passes all the same.
    double usualPathShare = 0.5; ///< Share of a route's requests that must reach a service for it to count.
};

/// The references must outlive the result.
std::unique_ptr<IRouter> makeRouter(IClock &clock, IRandom &random, const RoutingSettings &settings);

} // namespace vanillatack
