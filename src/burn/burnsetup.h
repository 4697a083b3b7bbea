#pragma once

#include "burn/iburncounters.h"
#include "config/fleetconfig.h"

#include <memory>

namespace vanillatack {

/// Memory limits of the counters.
struct BurnLimits {
    int retentionMinutes = 3 * 24 * 60; ///< The longest alert window of the report is 3 days.
    std::size_t maxSeries = 512; ///< Pairs of route and workspace; further pairs count under OtherSeries.
    /// Counters over all minutes, about 24 bytes each (7 MB). The oldest minutes are evicted first.
    std::size_t maxCounters = 300'000;
};

/// Route and workspace name of the series for requests beyond BurnLimits::maxSeries. Not a valid configured name.
inline constexpr std::string_view OtherSeries = "_other";

/// The clock must outlive the counters. Not thread-safe.
std::unique_ptr<IBurnCounters> createBurnCounters(const IClock &clock, const BurnLimits &limits = {});

/// Objectives of all routes that have one.
std::vector<Objective> objectivesOf(const FleetConfig &config);

} // namespace vanillatack
