#pragma once

#include "base/clock.h"
#include "model/request.h"

#include <map>
#include <string>
#include <vector>

namespace vanillatack {

/// How a root request ended, as its caller saw it.
struct BurnSample {
    RouteName route;
    WorkspaceName workspace;
    RefusalKind refusal = RefusalKind::None;
    int status = 0; ///< HTTP status sent to the caller.
    Duration latency{0};
    bool insideRate = true; ///< Whether the workspace was inside its rate.
};

/// Counts of one minute, or one hour, of one route and workspace.
struct BurnBucket {
    std::int64_t minute = 0; ///< Minutes since the epoch, UTC.
    RouteName route;
    WorkspaceName workspace;
    std::uint64_t good = 0;
    std::uint64_t bad = 0; ///< Against the route's objective; refusals of callers over their rate do not count.
    std::map<RefusalKind, std::uint64_t> refusals; ///< Bad requests by kind; None: answered late or with status 5xx.
    int spanMinutes = 1; ///< 60 for the sum of an hour; the minute is then the first of the hour.

    bool operator==(const BurnBucket &) const = default;
};

/// Objective of one route.
struct Objective {
    RouteName route;
    double percent = 0; ///< Share of good requests promised, such as 99.9.
    Duration latency{0}; ///< 0 for any time.
};

/// Counts good and bad requests at the entry node in one-minute buckets.
class IBurnCounters
{
public:
    virtual ~IBurnCounters() = default;

    virtual void setObjectives(const std::vector<Objective> &objectives) = 0;
    virtual void record(const BurnSample &sample) = 0;

    /// Buckets of the given minutes, both included.
    [[nodiscard]] virtual std::vector<BurnBucket> buckets(std::int64_t fromMinute, std::int64_t toMinute) const = 0;
};

} // namespace vanillatack
