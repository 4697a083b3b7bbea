#pragma once

#include "base/clock.h"
#include "model/messages.h"

#include <map>
#include <vector>

namespace vanillatack {

/// Estimates the outgoing edges of the local instance in the call graph: how many inner calls one request of each route
/// causes. Calls do not identify the request that caused them, so each call is divided among the running routes in
/// proportion to their running requests times the calls observed per second of a running request.
class CallGraph
{
public:
    /// Records that a request of the route starts at the instance.
    void begin(const RouteName &route, TimePoint now);
    void end(const RouteName &route, TimePoint now);

    /// Records a call of the instance to the route.
    void recordCall(const RouteName &callee, TimePoint now);

    /// Mean calls per request, for the pairs of caller and callee with enough observations.
    [[nodiscard]] std::vector<CallEdge> edges() const;

    /// Number of routes that are running or have run recently.
    [[nodiscard]] std::size_t callers() const
    {
        return m_callers.size();
    }

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
