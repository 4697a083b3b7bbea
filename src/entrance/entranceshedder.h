#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "model/ids.h"

#include <map>

namespace vanillatack {

/// Admits the planned share of each route's requests, for each workspace alike.
class EntranceShedder
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

/// Time after which a refused caller should return: soon enough to be answered in the time that it has, and spread so
/// that callers that were refused together do not return together.
Duration retryAfter(Duration timeLeft, Duration expectedWait, IRandom &random);

} // namespace vanillatack
