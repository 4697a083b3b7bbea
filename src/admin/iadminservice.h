#pragma once

#include "admin/adminmodel.h"
#include "base/error.h"

namespace vanillatack {

/// Operations of the admin port. Called from the threads of AdminServer, several at once, and may block for some
/// seconds; the tool waits 15 s for an answer.
///
/// Errors of changes: Unavailable and Conflict promise that nothing was changed; OutcomeUnknown and Timeout do not.
class IAdminService
{
public:
    virtual ~IAdminService() = default;

    virtual Result<ConfigDocument> showConfig() = 0;

    /// The text has been validated. Errors: Conflict, Unavailable, OutcomeUnknown.
    virtual Result<ConfigApplied> applyConfig(const ConfigChange &change) = 0;

    virtual Result<ConfigHistory> configHistory(int limit) = 0;

    virtual Result<WorkspaceList> listWorkspaces() = 0;

    virtual Result<KeyList> listKeys() = 0;

    /// Errors: NotFound (no such workspace), Conflict, Unavailable, OutcomeUnknown.
    virtual Result<KeyGrant> grantKey(const KeyGrantRequest &request) = 0;

    /// Revokes the key at this node at once, then waits up to 5 s for the availability zones. A revocation that did not
    /// reach all of them, or not the table, is not an error. Errors: NotFound (no such key).
    virtual Result<KeyWithdrawal> withdrawKey(const KeyWithdrawRequest &request) = 0;

    virtual Result<FleetView> viewFleet() = 0;

    virtual Result<RefusalList> listRefusals(const RefusalQuery &query) = 0;

    /// Errors: NotFound (another node's name).
    virtual Result<DrainState> drain(const DrainRequest &request) = 0;
    virtual Result<DrainState> undrain(const DrainRequest &request) = 0;

    /// Buckets of this node, of the other nodes that can be reached, and of the table. Zones whose figures are missing
    /// are named; that is not an error.
    virtual Result<BurnFigures> burnFigures(const BurnQuery &query) = 0;

    virtual Result<NodeStatus> nodeStatus() = 0;
};

} // namespace vanillatack
