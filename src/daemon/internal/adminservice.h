#pragma once

#include "admin/iadminservice.h"
#include "base/random.h"
#include "daemon/internal/nodelock.h"
#include "daemon/settings.h"

#include <condition_variable>
#include <memory>
#include <optional>

namespace vanillatack {

/// Implements the admin port: reads the node's state and applies changes of operators.
class AdminService final : public IAdminService
{
public:
    AdminService(IClock &clock, IRandom &random, NodeLock &lock, INode &node, const DaemonSettings &settings);

    Result<ConfigDocument> showConfig() override;
    Result<ConfigApplied> applyConfig(const ConfigChange &change) override;
    Result<ConfigHistory> configHistory(int limit) override;
    Result<WorkspaceList> listWorkspaces() override;
    Result<KeyList> listKeys() override;
    Result<KeyGrant> grantKey(const KeyGrantRequest &request) override;
    Result<KeyWithdrawal> withdrawKey(const KeyWithdrawRequest &request) override;
    Result<FleetView> viewFleet() override;
    Result<RefusalList> listRefusals(const RefusalQuery &query) override;
    Result<DrainState> drain(const DrainRequest &request) override;
    Result<DrainState> undrain(const DrainRequest &request) override;
    Result<BurnFigures> burnFigures(const BurnQuery &query) override;
    Result<NodeStatus> nodeStatus() override;

private:
    Result<std::uint64_t> applyDocument(const DocumentChange &change);
    Result<DrainState> setDrain(const DrainRequest &request, bool draining);
    ZoneView viewZone(const ZoneStatus &status) const;
    std::vector<ZoneConfirmationView> confirmations(std::uint64_t withdrawnKeys);
    /// Waits up to 5 s until all reachable zones report at least this number of withdrawn keys. False after the
    /// timeout.
    bool waitForConfirmations(std::uint64_t withdrawnKeys);

    IClock &m_clock;
    IRandom &m_random;
    NodeLock &m_lock;
    INode &m_node;
    const DaemonSettings &m_settings;
    const TimePoint m_startedAt;
};

} // namespace vanillatack
