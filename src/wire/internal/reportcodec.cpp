#include "wire/internal/reportcodec.h"

#include "wire/internal/callcodec.h"

#include <cmath>

namespace vanillatack::wire {

namespace {

/// Figures of other nodes enter sums, so that one that is no number would spoil all.
double toFigure(float value)
{
    if (!std::isfinite(value) || value < 0) {
        throw DecodeFailure("a load figure is negative or no number");
    }
    return value;
}

} // namespace

void write(schema::NodeReport::Builder out, const NodeReport &in)
{
    out.setNode(in.node.value);
    out.setStartedAtMs(in.startedAtMs);
    out.setSequence(in.sequence);
    out.setService(in.service.value);
    out.setSlots(in.slots);
    out.setRunning(in.running);
    out.setQueued(in.queued);
    auto loads = out.initLoads(in.loads.size());
    for (unsigned index = 0; index < in.loads.size(); ++index) {
        loads[index].setRoute(in.loads[index].route.value);
        loads[index].setOfferedPerSecond(static_cast<float>(in.loads[index].offeredPerSecond));
        loads[index].setWorkSeconds(static_cast<float>(in.loads[index].workSeconds));
    }
    auto edges = out.initEdges(in.edges.size());
    for (unsigned index = 0; index < in.edges.size(); ++index) {
        edges[index].setCaller(in.edges[index].caller.value);
        edges[index].setCallee(in.edges[index].callee.value);
        edges[index].setCallsPerRequest(static_cast<float>(in.edges[index].callsPerRequest));
    }
    auto demands = out.initDemands(in.demands.size());
    for (unsigned index = 0; index < in.demands.size(); ++index) {
        demands[index].setWorkspace(in.demands[index].workspace.value);
        demands[index].setPerSecond(static_cast<float>(in.demands[index].perSecond));
    }
}

NodeReport readNodeReport(schema::NodeReport::Reader in)
{
    NodeReport out;
    out.node.value = toString(in.getNode());
    out.startedAtMs = in.getStartedAtMs();
    out.sequence = in.getSequence();
    out.service.value = toString(in.getService());
    out.slots = in.getSlots();
    out.running = in.getRunning();
    out.queued = in.getQueued();
    for (const auto load : in.getLoads()) {
        out.loads.push_back({RouteName(toString(load.getRoute())),
                             toFigure(load.getOfferedPerSecond()),
                             toFigure(load.getWorkSeconds())});
    }
    for (const auto edge : in.getEdges()) {
        out.edges.push_back({RouteName(toString(edge.getCaller())),
                             RouteName(toString(edge.getCallee())),
                             toFigure(edge.getCallsPerRequest())});
    }
    for (const auto demand : in.getDemands()) {
        out.demands.push_back({WorkspaceName(toString(demand.getWorkspace())), toFigure(demand.getPerSecond())});
    }
    return out;
}

} // namespace vanillatack::wire
