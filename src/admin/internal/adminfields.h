#pragma once

#include "admin/adminmodel.h"
#include "base/error.h"

#include <concepts>
#include <type_traits>

// The JSON members of each value, shared by serialization (const values) and parsing.

namespace vanillatack::adminfields {

template<class T, class Value>
concept MaybeConst = std::same_as<std::remove_const_t<T>, Value>;

void visitFields(auto &visitor, MaybeConst<Error> auto &value)
{
    visitor("kind", value.kind);
    visitor("message", value.message);
    visitor("remedy", value.remedy);
}

void visitFields(auto &visitor, MaybeConst<AdminProblem> auto &value)
{
    visitor("error", value.error);
}

void visitFields(auto &visitor, MaybeConst<ConfigDocument> auto &value)
{
    visitor("version", value.version);
    visitor("digest", value.digest);
    visitor("text", value.text);
}

void visitFields(auto &visitor, MaybeConst<ConfigChange> auto &value)
{
    visitor("baseVersion", value.baseVersion);
    visitor("text", value.text);
    visitor("author", value.author);
    visitor("note", value.note);
}

void visitFields(auto &visitor, MaybeConst<ConfigApplied> auto &value)
{
    visitor("version", value.version);
    visitor("digest", value.digest);
}

void visitFields(auto &visitor, MaybeConst<ConfigHistoryEntry> auto &value)
{
    visitor("version", value.version);
    visitor("digest", value.digest);
    visitor("author", value.author);
    visitor("note", value.note);
    visitor("appliedAtMs", value.appliedAtMs);
}

void visitFields(auto &visitor, MaybeConst<ConfigHistory> auto &value)
{
    visitor("entries", value.entries);
}

void visitFields(auto &visitor, MaybeConst<WorkspaceView> auto &value)
{
    visitor("workspace", value.workspace);
    visitor("rate", value.rate);
    visitor("burst", value.burst);
    visitor("weight", value.weight);
    visitor("ownedRate", value.ownedRate);
    visitor("lentRate", value.lentRate);
    visitor("borrowedRate", value.borrowedRate);
    visitor("tokens", value.tokens);
    visitor("admitted", value.admitted);
    visitor("refused", value.refused);
}

void visitFields(auto &visitor, MaybeConst<WorkspaceList> auto &value)
{
    visitor("node", value.node);
    visitor("workspaces", value.workspaces);
}

void visitFields(auto &visitor, MaybeConst<KeyView> auto &value)
{
    visitor("id", value.id);
    visitor("workspace", value.workspace);
    visitor("note", value.note);
    visitor("withdrawnAtMs", value.withdrawnAtMs);
}

void visitFields(auto &visitor, MaybeConst<KeyList> auto &value)
{
    visitor("keys", value.keys);
}

void visitFields(auto &visitor, MaybeConst<KeyGrantRequest> auto &value)
{
    visitor("workspace", value.workspace);
    visitor("author", value.author);
    visitor("note", value.note);
}

void visitFields(auto &visitor, MaybeConst<KeyGrant> auto &value)
{
    visitor("id", value.id);
    visitor("workspace", value.workspace);
    visitor("key", value.key);
}

void visitFields(auto &visitor, MaybeConst<KeyWithdrawRequest> auto &value)
{
    visitor("id", value.id);
    visitor("author", value.author);
}

void visitFields(auto &visitor, MaybeConst<ZoneConfirmationView> auto &value)
{
    visitor("zone", value.zone);
    visitor("state", value.state);
}

void visitFields(auto &visitor, MaybeConst<KeyWithdrawal> auto &value)
{
    visitor("id", value.id);
    visitor("stored", value.stored);
    visitor("zones", value.zones);
}

void visitFields(auto &visitor, MaybeConst<ServiceCounts> auto &value)
{
    visitor("service", value.service);
    visitor("healthy", value.healthy);
    visitor("draining", value.draining);
}

void visitFields(auto &visitor, MaybeConst<DrainingNode> auto &value)
{
    visitor("node", value.node);
    visitor("service", value.service);
}

void visitFields(auto &visitor, MaybeConst<ZoneView> auto &value)
{
    visitor("zone", value.zone);
    visitor("region", value.region);
    visitor("reachable", value.reachable);
    visitor("lastHeardMs", value.lastHeardMs);
    visitor("nodes", value.nodes);
    visitor("configVersion", value.configVersion);
    visitor("keysVersion", value.keysVersion);
    visitor("withdrawnKeys", value.withdrawnKeys);
    visitor("upstreams", value.upstreams);
    visitor("drains", value.drains);
}

void visitFields(auto &visitor, MaybeConst<FleetView> auto &value)
{
    visitor("node", value.node);
    visitor("zones", value.zones);
}

void visitFields(auto &visitor, MaybeConst<RefusalView> auto &value)
{
    visitor("atMs", value.atMs);
    visitor("requestId", value.requestId);
    visitor("kind", value.kind);
    visitor("runState", value.runState);
    visitor("route", value.route);
    visitor("workspace", value.workspace);
    visitor("service", value.service);
    visitor("class", value.priority);
    visitor("depth", value.depth);
    visitor("detail", value.detail);
}

void visitFields(auto &visitor, MaybeConst<RefusalList> auto &value)
{
    visitor("node", value.node);
    visitor("refusals", value.refusals);
}

void visitFields(auto &visitor, MaybeConst<DrainRequest> auto &value)
{
    visitor("node", value.node);
    visitor("author", value.author);
    visitor("note", value.note);
}

void visitFields(auto &visitor, MaybeConst<DrainState> auto &value)
{
    visitor("node", value.node);
    visitor("draining", value.draining);
    visitor("runningRequests", value.runningRequests);
    visitor("queuedRequests", value.queuedRequests);
}

void visitFields(auto &visitor, MaybeConst<Objective> auto &value)
{
    visitor("route", value.route);
    visitor("percent", value.percent);
    visitor("latencyMs", value.latency);
}

void visitFields(auto &visitor, MaybeConst<BurnFigures> auto &value)
{
    visitor("nowMinute", value.nowMinute);
    visitor("objectives", value.objectives);
    visitor("missingZones", value.missingZones);
    visitor("buckets", value.buckets);
}

void visitFields(auto &visitor, MaybeConst<NodeStatus> auto &value)
{
    visitor("node", value.node);
    visitor("zone", value.zone);
    visitor("programVersion", value.programVersion);
    visitor("uptimeMs", value.uptimeMs);
    visitor("ready", value.ready);
    visitor("notReadyReason", value.notReadyReason);
    visitor("draining", value.draining);
    visitor("service", value.service);
    visitor("upstreamState", value.upstreamState);
    visitor("slots", value.slots);
    visitor("concurrencyLimit", value.concurrencyLimit);
    visitor("runningRequests", value.runningRequests);
    visitor("queuedRequests", value.queuedRequests);
    visitor("configVersion", value.configVersion);
    visitor("keysVersion", value.keysVersion);
    visitor("withdrawnKeys", value.withdrawnKeys);
    visitor("zoneMembers", value.zoneMembers);
    visitor("reachableZones", value.reachableZones);
    visitor("zoneCutOff", value.zoneCutOff);
    visitor("platformSilenceMs", value.platformSilenceMs);
}

} // namespace vanillatack::adminfields
