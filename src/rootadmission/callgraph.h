#pragma once

#include "base/clock.h"
#include "model/messages.h"

#include <map>
#include <vector>

namespace vanillatack {

/// Estimates how many inner calls one request of each route causes at the local instance. Calls do not identify the
/// request that caused them, so each call is attributed to the running routes by their observed call rates: the rate of
/// calls grows with the number of running requests of the calling route.
class CallGraph
{
public:
    /// Records that a request of the route starts at the instance.
    void begin(const RouteName &route, TimePoint now);
    void end(const RouteName &route, TimePoint now);

    /// Records a call of the instance to the route.
    void recordCall(const RouteName &callee, TimePoint now);

    /// Mean calls per request, for the pairs with enough observations.
    [[nodiscard]] std::vector<CallEdge> edges() const;

private:
    struct Caller {
        int running = 0;
        double runningSeconds = 0; ///< Running requests integrated over time, with exponential decay.
        double completed = 0; ///< Completed requests, with exponential decay.
        std::map<RouteName, double> calls; ///< Attributed calls by callee, with exponential decay.
    };

    void advance(TimePoint now);

    std::map<RouteName, Caller> m_callers;
    TimePoint m_advancedAt;
};

} // namespace vanillatack
