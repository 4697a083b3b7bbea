#pragma once

#include <cstdint>
#include <string>

namespace vanillatack {

/// Row of a table whose changes nodes follow (fleet/iversionedtable.h) and forward in TableChanges. Rows of the service
/// behind store/itableservice.h are TableRow.
struct VersionedRow {
    std::string key;
    std::string value;
    std::uint64_t version = 0; ///< Version of the service at the last change of the row.
    bool deleted = false; ///< Whether the last change deleted the row.
};

} // namespace vanillatack
