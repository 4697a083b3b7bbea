#pragma once

#include "admin/adminmodel.h"

#include <string>
#include <utility>
#include <vector>

namespace vanillatack {

// Text forms of the answers for terminals.

/// "2026-01-31 09:05:12 UTC"; "-" for 0.
std::string formatTimeMs(std::int64_t timeMs);

std::string renderHistory(const ConfigHistory &history);
std::string renderWorkspaces(const WorkspaceList &list);
std::string renderKeys(const KeyList &list);
std::string renderKeyGrant(const KeyGrant &grant);
std::string renderKeyWithdrawal(const KeyWithdrawal &withdrawal);
std::string renderFleet(const FleetView &fleet);
std::string renderRefusals(const std::vector<RefusalList> &lists);
std::string renderDrainState(const DrainState &state);
std::string renderStatus(const std::vector<NodeStatus> &nodes);

/// Whether all availability zones have confirmed and the table has the revocation.
bool isComplete(const KeyWithdrawal &withdrawal);

} // namespace vanillatack
