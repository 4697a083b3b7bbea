#pragma once

#include "base/clock.h"
#include "model/request.h"

#include <map>
#include <string>
#include <vector>

namespace vanillatack {

/// Outcome of a root request as seen by its caller.
struct BurnSample {
    RouteName route;
    WorkspaceName workspace;
    RefusalKind refusal = RefusalKind::None;
    int status = 0; ///< HTTP status sent to the caller.
    Duration latency{0};
    bool withinRate = true; ///< Whether the workspace was within its rate limit.
};

/// Request counts of a route and workspace in one minute or hour.
struct BurnBucket {
    std::int64_t minute = 0; ///< Minutes since the epoch, UTC.
    RouteName route;
    WorkspaceName workspace;
    std::uint64_t good = 0;
    std::uint64_t bad = 0; ///< Requests that missed the route's objective; not those refused over the caller's rate.
    std::map<RefusalKind, std::uint64_t> refusals; ///< Bad requests by kind; None: answered late or with status 5xx.
    int spanMinutes = 1; ///< 1, or 60 for an hour bucket; minute is then the first of the hour.

    bool operator==(const BurnBucket &) const = default;
};

/// Service level objective of a route.
struct Objective {
    RouteName route;
    double percent = 0; ///< Promised percentage of good requests, such as 99.9.
    Duration latency{0}; ///< Latency limit of a good request; 0 for no limit.
};

/// Counts good and bad requests at the egress node in one-minute buckets.
class IBurnCounters
{
public:
    virtual ~IBurnCounters() = default;

    /// Sets the latency limits for samples that are recorded from now on. Samples of routes without an objective are
    /// counted too, without a latency limit.
    virtual void setObjectives(const std::vector<Objective> &objectives) = 0;
    virtual void record(const BurnSample &sample) = 0;

    /// Buckets from fromMinute to toMinute, both inclusive.
    [[nodiscard]] virtual std::vector<BurnBucket> buckets(std::int64_t fromMinute, std::int64_t toMinute) const = 0;
};

} // namespace vanillatack
