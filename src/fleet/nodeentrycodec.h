#pragma once

#include "base/error.h"
#include "fleet/nodedirectory.h"

namespace vanillatack {

/// Serializes a registry entry as the JSON text of its row.
std::string formatNodeEntry(const NodeEntry &entry);

/// Parses the text of a registry row. Errors: InvalidMessage.
Result<NodeEntry> parseNodeEntry(const std::string &text);

} // namespace vanillatack
