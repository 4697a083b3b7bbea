#pragma once

#include <cstdint>
#include <string>

namespace vanillatack {

/// Row of the platform's table service.
struct VersionedRow {
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool deleted = false;
};

} // namespace vanillatack
