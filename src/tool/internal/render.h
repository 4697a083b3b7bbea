#pragma once

#include "admin/adminmodel.h"

#include <string>
#include <utility>
#include <vector>

namespace vanillatack {

// Formats responses of the admin port as text for terminals.

/// Formats milliseconds since the epoch like "2026-01-31 09:05:12 UTC", and 0 as "-".
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

/// Returns whether the platform's table has the withdrawal and all availability zones have confirmed it.
bool isComplete(const KeyWithdrawal &withdrawal);

} // namespace vanillatack
