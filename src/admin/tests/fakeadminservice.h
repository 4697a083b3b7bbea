#pragma once

#include "admin/iadminservice.h"

#include <atomic>
#include <mutex>

namespace vanillatack {

/// Returns values set by the test and counts the calls.
class FakeAdminService final : public IAdminService
{
public:
    Result<ConfigDocument> showConfig() override
    {
        return counted(config);
    }

    Result<ConfigApplied> applyConfig(const ConfigChange &change) override
    {
        ++calls;
        if (applyError) {
            return *applyError;
        }
        if (change.baseVersion != config.version) {
            return makeError(
                ErrorKind::Conflict, "Another operator applied a version in between.", "Look at the new version.");
        }
        config.text = change.text;
        return ConfigApplied{++config.version, "digest"};
    }

    Result<ConfigHistory> configHistory(int limit) override
    {
        const std::vector<ConfigHistoryEntry> unset(static_cast<std::size_t>(limit));
        return counted(history.entries.empty() ? ConfigHistory{unset} : history);
    }

    Result<WorkspaceList> listWorkspaces() override
    {
        return counted(workspaces);
    }

    Result<KeyList> listKeys() override
    {
        return counted(KeyList{{{KeyId("k1"), WorkspaceName("north"), "till 4", 1000}}});
    }

    Result<KeyGrant> grantKey(const KeyGrantRequest &request) override
    {
        return counted(KeyGrant{KeyId("k2"), request.workspace, "secret-key"});
    }

    Result<KeyWithdrawal> withdrawKey(const KeyWithdrawRequest &request) override
    {
        return counted(KeyWithdrawal{request.id, stored, {{ZoneName("a"), zoneState}}});
    }

    Result<FleetView> viewFleet() override
    {
        return counted(fleet);
    }

    Result<RefusalList> listRefusals(const RefusalQuery &requested) override
    {
        query = requested;
        RefusalView refusal;
        refusal.requestId = requested.requestId;
        refusal.kind = requested.kind.value_or(RefusalKind::Overloaded);
        return counted(RefusalList{NodeName("n1"), {refusal}});
    }

    Result<DrainState> drain(const DrainRequest &request) override
    {
        return counted(DrainState{request.node, true, 3, 1});
    }

    Result<DrainState> undrain(const DrainRequest &request) override
    {
        return counted(DrainState{request.node, false, 0, 0});
    }

    Result<BurnFigures> burnFigures(const BurnQuery &requested) override
    {
        BurnFigures figures = burn;
        figures.buckets = {};
        for (const auto &[source, counts] : burn.buckets.sources()) {
            for (const auto &[key, value] : counts) {
                if (key.minute >= requested.fromMinute && key.minute <= requested.toMinute) {
                    const BurnBucket bucket{
                        key.minute, key.route, key.workspace, value.good, value.bad, value.refusals, key.spanMinutes};
                    figures.buckets.add(source, bucket);
                }
            }
        }
        return counted(std::move(figures));
    }

    Result<NodeStatus> nodeStatus() override
    {
        return counted(status);
    }

    ConfigDocument config{4, "d4", "[zone a]\nregion = r\n"};
    std::optional<Error> applyError;
    ConfigHistory history; ///< If empty, configHistory() returns as many blank entries as requested.
    WorkspaceList workspaces;
    bool stored = true;
    ZoneConfirmation zoneState = ZoneConfirmation::Confirmed;
    FleetView fleet;
    RefusalQuery query;
    BurnFigures burn;
    NodeStatus status;
    std::atomic<int> calls = 0;

private:
    template<class T>
    Result<T> counted(T value)
    {
        ++calls;
        return value;
    }
};

} // namespace vanillatack
