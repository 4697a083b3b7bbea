#pragma once

#include "base/error.h"
#include "fleet/nodedirectory.h"

namespace vanillatack {

/// Text of a node's row in the registry.
std::string formatNodeEntry(const NodeEntry &entry);

/// Errors: InvalidMessage.
Result<NodeEntry> parseNodeEntry(const std::string &text);

} // namespace vanillatack
