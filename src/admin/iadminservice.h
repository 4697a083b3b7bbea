#pragma once

#include "admin/adminmodel.h"
#include "base/error.h"

namespace vanillatack {

/// Operations of the admin port. Called concurrently from the threads of AdminServer. Calls may block for up to
/// 10 s for the platform, withdrawKey() for 5 s more; the tool's response timeout is 15 s.
///
/// Errors of changes: Unavailable and Conflict guarantee that nothing was changed; OutcomeUnknown and Timeout do not.
class IAdminService
{
public:
    virtual ~IAdminService() = default;

    virtual Result<ConfigDocument> showConfig() = 0;

    /// The caller has validated the text. Errors: Conflict, Unavailable, OutcomeUnknown.
    virtual Result<ConfigApplied> applyConfig(const ConfigChange &change) = 0;

    virtual Result<ConfigHistory> configHistory(int limit) = 0;

    virtual Result<WorkspaceList> listWorkspaces() = 0;

    virtual Result<KeyList> listKeys() = 0;

    /// Errors: NotFound (no such workspace), Conflict, Unavailable, OutcomeUnknown.
    virtual Result<KeyGrant> grantKey(const KeyGrantRequest &request) = 0;

    /// Withdraws the key at this node immediately, then waits up to 5 s for the confirmations of the availability
    /// zones. Missing confirmations of zones or of the table are not errors. Errors: NotFound (no such key).
    virtual Result<KeyWithdrawal> withdrawKey(const KeyWithdrawRequest &request) = 0;

    virtual Result<FleetView> viewFleet() = 0;

    virtual Result<RefusalList> listRefusals(const RefusalQuery &query) = 0;

    /// Errors: NotFound (the request names another node).
    virtual Result<DrainState> drain(const DrainRequest &request) = 0;
    virtual Result<DrainState> undrain(const DrainRequest &request) = 0;

    /// Returns the buckets of this node, of all reachable nodes and of the table. Missing zones are listed in the
    /// result; they are not an error.
    virtual Result<BurnFigures> burnFigures(const BurnQuery &query) = 0;

    virtual Result<NodeStatus> nodeStatus() = 0;
};

} // namespace vanillatack
