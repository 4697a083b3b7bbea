#include "tool/internal/render.h"

#include "base/inidocument.h"
#include "base/text.h"
#include "base/texttable.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <ctime>
#include <set>

namespace vanillatack {

namespace {

std::string yesNo(bool value)
{
    return value ? "yes" : "no";
}

std::string orDash(const std::string &text)
{
    return text.empty() ? "-" : text;
}

std::string formatAmount(double value)
{
    return absl::StrFormat("%.1f", value);
}

std::string formatSeconds(std::int64_t milliseconds)
{
    return absl::StrCat(milliseconds / 1000, "s");
}

} // namespace

std::string formatTimeMs(std::int64_t timeMs)
{
    if (timeMs == 0) {
        return "-";
    }
    const std::time_t time = timeMs / 1000;
    std::tm calendarTime{};
    gmtime_r(&time, &calendarTime);
    char text[64];
    return {text, std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S UTC", &calendarTime)};
}

std::string renderHistory(const ConfigHistory &history)
{
    TextTable table({"version", "applied at", "author", "digest", "note"});
    for (const ConfigHistoryEntry &entry : history.entries) {
        table.addRow({absl::StrCat(entry.version),
                      formatTimeMs(entry.appliedAtMs),
                      entry.author,
                      entry.digest.substr(0, 12),
                      entry.note});
    }
    return table.text();
}

std::string renderWorkspaces(const WorkspaceList &list)
{
    TextTable table(
        {"workspace", "rate", "burst", "weight", "owned/s", "lent/s", "borrowed/s", "tokens", "admitted", "refused"});
    for (const WorkspaceView &view : list.workspaces) {
        table.addRow({view.workspace.value,
                      absl::StrCat(view.rate),
                      absl::StrCat(view.burst),
                      absl::StrCat(view.weight),
                      formatAmount(view.ownedRate),
                      formatAmount(view.lentRate),
                      formatAmount(view.borrowedRate),
                      formatAmount(view.tokens),
                      absl::StrCat(view.admitted),
                      absl::StrCat(view.refused)});
    }
    return absl::StrCat(table.text(), "\nThe columns from owned/s on show the state of node ", list.node.value, ".\n");
}

std::string renderKeys(const KeyList &list)
{
    TextTable table({"key id", "workspace", "state", "note"});
    for (const KeyView &key : list.keys) {
        const std::string state =
            key.withdrawnAtMs ? absl::StrCat("revoked ", formatTimeMs(*key.withdrawnAtMs)) : "valid";
        table.addRow({key.id.value, key.workspace.value, state, key.note});
    }
    return table.text();
}

std::string renderKeyGrant(const KeyGrant &grant)
{
    return absl::StrCat("Key id:    ",
                        grant.id.value,
                        "\nWorkspace: ",
                        grant.workspace.value,
                        "\nKey:       ",
                        grant.key,
                        "\n\nThe key is not stored and cannot be shown again. Save it now.\n");
}

bool isComplete(const KeyWithdrawal &withdrawal)
{
    return withdrawal.stored
        && std::all_of(withdrawal.zones.begin(), withdrawal.zones.end(), [](const ZoneConfirmationView &zone) {
               return zone.state == ZoneConfirmation::Confirmed;
           });
}

std::string renderKeyWithdrawal(const KeyWithdrawal &withdrawal)
{
    TextTable table({"zone", "revocation"});
    for (const ZoneConfirmationView &zone : withdrawal.zones) {
        table.addRow({zone.zone.value, std::string(ZoneConfirmationNames.name(zone.state))});
    }
    std::string text = absl::StrCat("Key ", withdrawal.id.value, " is revoked.\n\n", table.text());
    if (!withdrawal.stored) {
        absl::StrAppend(&text, "\nThe platform's table could not be reached; a node stores the revocation later.\n");
    }
    if (!isComplete(withdrawal)) {
        absl::StrAppend(&text,
                        "\nZones that have not confirmed receive the revocation once they are reachable. A zone "
                        "that is cut off from all others accepts keys for at most cutoff_key_grace.\n");
    }
    return text;
}

std::string renderFleet(const FleetView &fleet)
{
    TextTable zones({"zone", "region", "state", "nodes", "config", "keys", "revoked keys"});
    TextTable upstreams({"zone", "service", "healthy", "draining"});
    TextTable drains({"zone", "node", "service"});
    std::set<std::uint64_t> versions;
    bool anyDrain = false;
    for (const ZoneView &zone : fleet.zones) {
        zones.addRow(
            {zone.zone.value,
             zone.region,
             zone.reachable ? "reachable" : absl::StrCat("UNREACHABLE, seen ", formatSeconds(zone.lastHeardMs), " ago"),
             absl::StrCat(zone.nodes),
             absl::StrCat(zone.configVersion),
             absl::StrCat(zone.keysVersion),
             absl::StrCat(zone.withdrawnKeys)});
        versions.insert(zone.configVersion);
        for (const ServiceCounts &upstream : zone.upstreams) {
            upstreams.addRow({zone.zone.value,
                              upstream.service.value,
                              absl::StrCat(upstream.healthy),
                              absl::StrCat(upstream.draining)});
        }
        for (const DrainingNode &drain : zone.drains) {
            drains.addRow({zone.zone.value, drain.node.value, orDash(drain.service.value)});
            anyDrain = true;
        }
    }
    std::string text = absl::StrCat("Fleet as seen by node ", fleet.node.value, "\n\n", zones.text());
    if (versions.size() > 1) {
        absl::StrAppend(&text, "\nThe configuration in force differs between zones.\n");
    }
    absl::StrAppend(&text, "\n", upstreams.text());
    return anyDrain ? absl::StrCat(text, "\n", drains.text()) : text + "\nNo node is known to be draining.\n";
}

std::string renderRefusals(const std::vector<RefusalList> &lists)
{
    std::vector<std::pair<const RefusalView *, const NodeName *>> sorted;
    for (const RefusalList &list : lists) {
        for (const RefusalView &refusal : list.refusals) {
            sorted.emplace_back(&refusal, &list.node);
        }
    }
    if (sorted.empty()) {
        return "The given nodes have no record of such a refusal. Pass the nodes on the request's path with --node.\n";
    }
    std::stable_sort(sorted.begin(), sorted.end(), [](const auto &left, const auto &right) {
        return left.first->atMs > right.first->atMs;
    });
    TextTable table(
        {"at", "node", "request", "kind", "run state", "route", "class", "workspace", "service", "depth", "detail"});
    for (const auto &[refusal, node] : sorted) {
        table.addRow({formatTimeMs(refusal->atMs),
                      node->value,
                      refusal->requestId,
                      std::string(RefusalKindNames.name(refusal->kind)),
                      std::string(RunStateNames.name(refusal->runState)),
                      orDash(refusal->route.value),
                      std::string(PriorityClassNames.name(refusal->priority)),
                      orDash(refusal->workspace.value),
                      orDash(refusal->service.value),
                      absl::StrCat(refusal->depth),
                      refusal->detail});
    }
    return table.text();
}

std::string renderDrainState(const DrainState &state)
{
    return absl::StrCat("Node ",
                        state.node.value,
                        state.draining ? " drains" : " takes work",
                        ": ",
                        state.runningRequests,
                        " requests running, ",
                        state.queuedRequests,
                        " queued.\n");
}

std::string renderStatus(const std::vector<NodeStatus> &nodes)
{
    std::string text;
    for (const NodeStatus &node : nodes) {
        TextTable table({"item", "value"});
        const std::vector<std::pair<std::string, std::string>> rows = {
            {"node", node.node.value},
            {"zone", node.zone.value},
            {"program", node.programVersion},
            {"up for", formatDuration(std::chrono::seconds(node.uptimeMs / 1000))},
            {"ready", node.ready ? "yes" : absl::StrCat("no: ", node.notReadyReason)},
            {"draining", yesNo(node.draining)},
            {"upstream", absl::StrCat(orDash(node.service.value), ", ", node.upstreamState)},
            {"slots", absl::StrCat(node.slots)},
            {"concurrency limit", absl::StrCat(node.concurrencyLimit)},
            {"running", absl::StrCat(node.runningRequests)},
            {"queued", absl::StrCat(node.queuedRequests)},
            {"config version", absl::StrCat(node.configVersion)},
            {"keys version", absl::StrCat(node.keysVersion)},
            {"revoked keys", absl::StrCat(node.withdrawnKeys)},
            {"nodes in the zone", absl::StrCat(node.zoneMembers)},
            {"reachable zones", absl::StrCat(node.reachableZones)},
            {"zone cut off", yesNo(node.zoneCutOff)},
            {"platform answered",
             node.platformSilenceMs ? absl::StrCat(formatSeconds(*node.platformSilenceMs), " ago") : "never"},
        };
        for (const auto &[name, value] : rows) {
            table.addRow({name, value});
        }
        absl::StrAppend(&text, text.empty() ? "" : "\n", table.text());
    }
    return text;
}

} // namespace vanillatack
