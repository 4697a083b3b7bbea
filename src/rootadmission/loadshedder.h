#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "model/ids.h"

#include <map>

namespace vanillatack {

/// Admits the planned share of each route's root requests, the same share for every workspace.
class LoadShedder
{
public:
    void setShares(std::map<RouteName, double> shares);

    /// Whether to admit the next request of the workspace. Refusals are spread evenly over the requests.
    bool admit(const RouteName &route, const WorkspaceName &workspace);

    /// Share of the route's root requests to admit; 1 for a route without a planned share.
    [[nodiscard]] double share(const RouteName &route) const;

private:
    std::map<RouteName, double> m_shares;
    std::map<std::pair<RouteName, WorkspaceName>, double> m_credits;
};

/// Time limits for the retry of a refused request.
struct RetryWindow {
    Duration timeLeft{0}; ///< Time until the request's deadline.
    /// Time left to meet the latency objective of the route; 0 when there is none or it is already missed, so that only
    /// timeLeft limits the retry.
    Duration targetLatency{0};
    Duration expectedWait{0}; ///< Estimated time until capacity is free; 0 when unknown.
};

/// Time after which a refused caller should retry: soon enough to meet the target latency unless no capacity is
/// expected by then, and randomized so that callers refused at the same time do not retry at the same time.
Duration retryAfter(const RetryWindow &window, IRandom &random);

} // namespace vanillatack
