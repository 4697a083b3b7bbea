#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "model/ids.h"

#include <map>

namespace vanillatack {

/// Admits the planned share of each route's requests, for each workspace alike.
class LoadShedder
{
public:
    void setShares(std::map<RouteName, double> shares);

    /// Whether the next request of the workspace enters. Spreads refusals evenly over time.
    bool admit(const RouteName &route, const WorkspaceName &workspace);

    [[nodiscard]] double share(const RouteName &route) const;

private:
    std::map<RouteName, double> m_shares;
    std::map<std::pair<RouteName, WorkspaceName>, double> m_credits;
};

/// What a refused caller can still make use of.
struct ReturnWindow {
    Duration timeLeft{0}; ///< Until nobody waits any more.
    Duration targetLatency{0}; ///< Within which an answer has its full use; 0 when unknown.
    Duration expectedWait{0}; ///< Until there may be room; 0 when unknown.
};

/// Time after which a refused caller should return: soon enough to be answered within the target latency unless there
/// is no room before, and spread so that callers that were refused together do not return together.
Duration retryAfter(const ReturnWindow &window, IRandom &random);

} // namespace vanillatack
