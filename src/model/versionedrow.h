#pragma once

#include <cstdint>
#include <string>

namespace vanillatack {

/// Version of a row or of the whole store. The store may come back from an older copy and then gives out the same
/// numbers again, so that a version has the store's era, which rises each time, in its upper bits. Versions of a later
/// era are greater than all of an earlier one. Stores that tell no era are in era 0.
inline constexpr int StoreNumberBits = 40;
inline constexpr std::uint64_t MaxStoreNumber = (std::uint64_t{1} << StoreNumberBits) - 1;
inline constexpr std::uint64_t MaxStoreEra = (std::uint64_t{1} << (64 - StoreNumberBits)) - 1;

/// Neither argument may exceed its maximum.
constexpr std::uint64_t makeStoreVersion(std::uint64_t era, std::uint64_t number)
{
    return era << StoreNumberBits | number;
}

constexpr std::uint64_t storeEraOf(std::uint64_t version)
{
    return version >> StoreNumberBits;
}

constexpr std::uint64_t storeNumberOf(std::uint64_t version)
{
    return version & MaxStoreNumber;
}

/// Row of a table whose changes nodes follow (fleet/iversionedtable.h) and forward in TableChanges. Rows of the service
/// behind store/itableservice.h are TableRow.
struct VersionedRow {
    std::string key;
    std::string value;
    std::uint64_t version = 0; ///< Version of the store at the last change of the row; see makeStoreVersion().
    bool deleted = false; ///< Whether the last change deleted the row.
};

} // namespace vanillatack
