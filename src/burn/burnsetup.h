#pragma once

#include "burn/iburncounters.h"
#include "config/fleetconfig.h"

#include <memory>

namespace vanillatack {

/// Bounds of the memory of the counters.
struct BurnLimits {
    int minutes = 3 * 24 * 60; ///< Minutes kept; the longest alert window of the report is 3 days.
    std::size_t series = 512; ///< Pairs of route and workspace; further ones count under OtherSeries.
    /// Counters kept over all minutes, about 24 bytes each (7 MB). The oldest minutes go first.
    std::size_t cells = 300'000;
};

/// Name of the route and the workspace that counts what is beyond BurnLimits::series. Not a valid configured name.
inline constexpr std::string_view OtherSeries = "_other";

/// The clock must outlive the counters. Not safe for use by several threads at once.
std::unique_ptr<IBurnCounters> createBurnCounters(const IClock &clock, const BurnLimits &limits = {});

/// Objectives of the routes that have one.
std::vector<Objective> objectivesOf(const FleetConfig &config);

} // namespace vanillatack
