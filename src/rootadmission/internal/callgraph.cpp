#include "rootadmission/callgraph.h"

#include <algorithm>
#include <cmath>

namespace vanillatack {

namespace {

/// Time after which a count has lost two thirds of its weight. Long against the noise of counts, short against a
/// change of the services.
constexpr double MemorySeconds = 20;
/// Requests of a route before its calls are told.
constexpr double EnoughRequests = 15;
/// Calls for a request below which a pair is taken for a wrong attribution.
constexpr double LeastCalls = 0.05;
/// Prior rate of calls for a pair not seen yet, in calls per running request and second. Small against real ones.
constexpr double PriorRate = 0.05;
/// Seconds of running requests that the prior counts as.
constexpr double PriorExposure = 0.5;

} // namespace

void CallGraph::advance(TimePoint now)
{
    const double elapsed =
        m_advancedAt == TimePoint{} ? 0 : std::max(0.0, std::chrono::duration<double>(now - m_advancedAt).count());
    m_advancedAt = now;
    const double keep = std::exp(-elapsed / MemorySeconds);
    for (auto &[route, caller] : m_callers) {
        caller.exposure = caller.exposure * keep + caller.running * elapsed;
        caller.ended *= keep;
        for (auto &[callee, calls] : caller.calls) {
            calls *= keep;
        }
    }
}

void CallGraph::begin(const RouteName &route, TimePoint now)
{
    advance(now);
    ++m_callers[route].running;
}

void CallGraph::end(const RouteName &route, TimePoint now)
{
    advance(now);
    Caller &caller = m_callers[route];
    caller.running = std::max(caller.running - 1, 0);
    caller.ended += 1;
}

void CallGraph::recordCall(const RouteName &callee, TimePoint now)
{
    advance(now);
    // Shares the call out among the running routes by the rate at which each has been seen to call.
    std::map<RouteName, double> weights;
    double total = 0;
    for (const auto &[route, caller] : m_callers) {
        if (caller.running == 0) {
            continue;
        }
        const auto entry = caller.calls.find(callee);
        const double calls = entry == caller.calls.end() ? 0 : entry->second;
        const double rate = (calls + PriorRate * PriorExposure) / (caller.exposure + PriorExposure);
        weights[route] = rate * caller.running;
        total += weights[route];
    }
    for (const auto &[route, weight] : weights) {
        m_callers[route].calls[callee] += weight / total;
    }
}

std::vector<CallEdge> CallGraph::edges() const
{
    std::vector<CallEdge> edges;
    for (const auto &[route, caller] : m_callers) {
        if (caller.ended < EnoughRequests) {
            continue;
        }
        for (const auto &[callee, calls] : caller.calls) {
            const double perRequest = calls / caller.ended;
            if (perRequest >= LeastCalls) {
                edges.push_back({route, callee, perRequest});
            }
        }
    }
    return edges;
}

} // namespace vanillatack
