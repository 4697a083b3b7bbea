#include "rootadmission/callgraph.h"

#include <algorithm>
#include <cmath>

namespace vanillatack {

namespace {

/// Time constant of the decay of counts: long enough to average out noise, short enough to follow changes of the
/// services.
constexpr double DecaySeconds = 20;
/// Completed requests of a route below which its calls are not reported.
constexpr double MinRequests = 15;
/// Calls per request below which a pair of caller and callee is considered a wrong attribution.
constexpr double MinCallsPerRequest = 0.05;
/// Assumed call rate of a pair without observations, in calls per running request and second; small compared to real
/// rates.
constexpr double PriorRate = 0.05;
/// Completed requests below which an idle route is forgotten. The list of routes may be long, and each may be used
/// once.
constexpr double MinRememberedRequests = 0.1;
/// Weight of the assumed rate: the running time of requests, in seconds, for which it counts as observed.
constexpr double PriorSeconds = 0.5;

} // namespace

void CallGraph::advance(TimePoint now)
{
    const double elapsed =
        m_advancedAt == TimePoint{} ? 0 : std::max(0.0, std::chrono::duration<double>(now - m_advancedAt).count());
    m_advancedAt = now;
    const double decay = std::exp(-elapsed / DecaySeconds);
    for (auto &[route, caller] : m_callers) {
        caller.runningSeconds = caller.runningSeconds * decay + caller.running * elapsed;
        caller.completed *= decay;
        for (auto &[callee, calls] : caller.calls) {
            calls *= decay;
        }
    }
    std::erase_if(m_callers, [](const auto &entry) {
        return entry.second.running == 0 && entry.second.completed < MinRememberedRequests;
    });
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
    caller.completed += 1;
}

void CallGraph::recordCall(const RouteName &callee, TimePoint now)
{
    advance(now);
    // Distributes the call over the running routes in proportion to their observed call rates.
    std::map<RouteName, double> weights;
    double total = 0;
    for (const auto &[route, caller] : m_callers) {
        if (caller.running == 0) {
            continue;
        }
        const auto entry = caller.calls.find(callee);
        const double calls = entry == caller.calls.end() ? 0 : entry->second;
        const double rate = (calls + PriorRate * PriorSeconds) / (caller.runningSeconds + PriorSeconds);
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
        if (caller.completed < MinRequests) {
            continue;
        }
        for (const auto &[callee, calls] : caller.calls) {
            const double perRequest = calls / caller.completed;
            if (perRequest >= MinCallsPerRequest) {
                edges.push_back({route, callee, perRequest});
            }
        }
    }
    return edges;
}

} // namespace vanillatack
