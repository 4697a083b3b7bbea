#pragma once

#include "base/clock.h"
#include "model/messages.h"

#include <map>
#include <vector>

namespace vanillatack {

/// Learns how many calls one request of a route causes at the instance beside this node. Calls carry no mark of the
/// request that caused them; the counts of running requests tell the routes apart, since calls come at a rate that
/// grows with the requests of the route that makes them.
class CallGraph
{
public:
    /// A request of the route starts at the instance.
    void begin(const RouteName &route, TimePoint now);
    void end(const RouteName &route, TimePoint now);

    /// The instance makes a call to the route.
    void recordCall(const RouteName &callee, TimePoint now);

    /// Calls for each request, of pairs seen often enough to be told.
    [[nodiscard]] std::vector<CallEdge> edges() const;

private:
    struct Caller {
        int running = 0;
        double exposure = 0; ///< Sum over time of the running requests, in seconds; old time counts less.
        double ended = 0; ///< Requests, decayed alike.
        std::map<RouteName, double> calls; ///< Calls attributed to the route, decayed alike.
    };

    void advance(TimePoint now);

    std::map<RouteName, Caller> m_callers;
    TimePoint m_advancedAt;
};

} // namespace vanillatack
