#pragma once

#include "admin/adminmodel.h"
#include "base/error.h"

#include <concepts>
#include <type_traits>

// One list of members per value, used for writing and for reading JSON.

namespace vanillatack::adminfields {

template<class T, class Wanted>
concept Is = std::same_as<std::remove_const_t<T>, Wanted>;

void describe(auto &field, Is<Error> auto &x)
{
    field("kind", x.kind);
    field("message", x.message);
    field("remedy", x.remedy);
}

void describe(auto &field, Is<AdminProblem> auto &x)
{
    field("error", x.error);
}

void describe(auto &field, Is<ConfigDocument> auto &x)
{
    field("version", x.version);
    field("digest", x.digest);
    field("text", x.text);
}

void describe(auto &field, Is<ConfigChange> auto &x)
{
    field("baseVersion", x.baseVersion);
    field("text", x.text);
    field("author", x.author);
    field("note", x.note);
}

void describe(auto &field, Is<ConfigApplied> auto &x)
{
    field("version", x.version);
    field("digest", x.digest);
}

void describe(auto &field, Is<ConfigHistoryEntry> auto &x)
{
    field("version", x.version);
    field("digest", x.digest);
    field("author", x.author);
    field("note", x.note);
    field("appliedAtMs", x.appliedAtMs);
}

void describe(auto &field, Is<ConfigHistory> auto &x)
{
    field("entries", x.entries);
}

void describe(auto &field, Is<WorkspaceView> auto &x)
{
    field("workspace", x.workspace);
    field("rate", x.rate);
    field("burst", x.burst);
    field("weight", x.weight);
    field("ownedRate", x.ownedRate);
    field("lentRate", x.lentRate);
    field("borrowedRate", x.borrowedRate);
    field("tokens", x.tokens);
    field("admitted", x.admitted);
    field("refused", x.refused);
}

void describe(auto &field, Is<WorkspaceList> auto &x)
{
    field("node", x.node);
    field("workspaces", x.workspaces);
}

void describe(auto &field, Is<KeyView> auto &x)
{
    field("id", x.id);
    field("workspace", x.workspace);
    field("note", x.note);
    field("withdrawnAtMs", x.withdrawnAtMs);
}

void describe(auto &field, Is<KeyList> auto &x)
{
    field("keys", x.keys);
}

void describe(auto &field, Is<KeyGrantRequest> auto &x)
{
    field("workspace", x.workspace);
    field("author", x.author);
    field("note", x.note);
}

void describe(auto &field, Is<KeyGrant> auto &x)
{
    field("id", x.id);
    field("workspace", x.workspace);
    field("key", x.key);
}

void describe(auto &field, Is<KeyWithdrawRequest> auto &x)
{
    field("id", x.id);
    field("author", x.author);
}

void describe(auto &field, Is<ZoneConfirmationView> auto &x)
{
    field("zone", x.zone);
    field("state", x.state);
}

void describe(auto &field, Is<KeyWithdrawal> auto &x)
{
    field("id", x.id);
    field("stored", x.stored);
    field("zones", x.zones);
}

void describe(auto &field, Is<UpstreamView> auto &x)
{
    field("service", x.service);
    field("healthy", x.healthy);
    field("draining", x.draining);
}

void describe(auto &field, Is<DrainView> auto &x)
{
    field("node", x.node);
    field("service", x.service);
}

void describe(auto &field, Is<ZoneView> auto &x)
{
    field("zone", x.zone);
    field("region", x.region);
    field("reachable", x.reachable);
    field("lastHeardMs", x.lastHeardMs);
    field("nodes", x.nodes);
    field("configVersion", x.configVersion);
    field("keysVersion", x.keysVersion);
    field("withdrawnKeys", x.withdrawnKeys);
    field("upstreams", x.upstreams);
    field("drains", x.drains);
}

void describe(auto &field, Is<FleetView> auto &x)
{
    field("node", x.node);
    field("zones", x.zones);
}

void describe(auto &field, Is<RefusalView> auto &x)
{
    field("atMs", x.atMs);
    field("requestId", x.requestId);
    field("kind", x.kind);
    field("runState", x.runState);
    field("route", x.route);
    field("workspace", x.workspace);
    field("service", x.service);
    field("class", x.priority);
    field("depth", x.depth);
    field("detail", x.detail);
}

void describe(auto &field, Is<RefusalList> auto &x)
{
    field("node", x.node);
    field("refusals", x.refusals);
}

void describe(auto &field, Is<DrainRequest> auto &x)
{
    field("node", x.node);
    field("author", x.author);
    field("note", x.note);
}

void describe(auto &field, Is<DrainState> auto &x)
{
    field("node", x.node);
    field("draining", x.draining);
    field("runningRequests", x.runningRequests);
    field("queuedRequests", x.queuedRequests);
}

void describe(auto &field, Is<Objective> auto &x)
{
    field("route", x.route);
    field("percent", x.percent);
    field("latencyMs", x.latency);
}

void describe(auto &field, Is<BurnFigures> auto &x)
{
    field("nowMinute", x.nowMinute);
    field("objectives", x.objectives);
    field("missingZones", x.missingZones);
    field("buckets", x.buckets);
}

void describe(auto &field, Is<NodeStatus> auto &x)
{
    field("node", x.node);
    field("zone", x.zone);
    field("programVersion", x.programVersion);
    field("uptimeMs", x.uptimeMs);
    field("ready", x.ready);
    field("notReadyReason", x.notReadyReason);
    field("draining", x.draining);
    field("service", x.service);
    field("upstreamState", x.upstreamState);
    field("slots", x.slots);
    field("concurrencyLimit", x.concurrencyLimit);
    field("runningRequests", x.runningRequests);
    field("queuedRequests", x.queuedRequests);
    field("configVersion", x.configVersion);
    field("keysVersion", x.keysVersion);
    field("withdrawnKeys", x.withdrawnKeys);
    field("zoneMembers", x.zoneMembers);
    field("reachableZones", x.reachableZones);
    field("zoneCutOff", x.zoneCutOff);
    field("platformSilenceMs", x.platformSilenceMs);
}

} // namespace vanillatack::adminfields
