#pragma once

#include "base/error.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace vanillatack {

/// A row of the platform's table. The table raises the version with every write of the row, starting at 1.
struct TableRow {
    std::string key;
    std::string value;
    std::uint64_t version = 0;

    bool operator==(const TableRow &) const = default;
};

/// One write of a transaction, with its precondition.
struct TableWrite {
    std::string key;
    std::optional<std::string> value; ///< nullopt deletes the row.
    std::optional<std::uint64_t> expectedVersion; ///< 0: must be absent; nullopt: no condition.
};

/// Result of a transaction: all writes were done, or none.
struct TableCommit {
    bool committed = false;
    std::vector<std::size_t> conflicts; ///< Indices of writes whose condition did not hold.
    std::vector<std::uint64_t> versions; ///< New version of each write when committed.
};

/// The transactional table service of the platform (several hundred transactions and about two thousand reads a
/// second). Completions are called later on the node's decision thread, never from within the call.
/// Errors: Unavailable (nothing was done), OutcomeUnknown (a write may have taken effect), Timeout (reads).
class ITableService
{
public:
    using RowCompletion = std::function<void(Result<std::optional<TableRow>>)>;
    using RowsCompletion = std::function<void(Result<std::vector<TableRow>>)>;
    using CommitCompletion = std::function<void(Result<TableCommit>)>;

    virtual ~ITableService() = default;

    virtual void read(const std::string &key, RowCompletion done) = 0;

    /// Reads several rows at once; absent rows are left out.
    virtual void readMany(const std::vector<std::string> &keys, RowsCompletion done) = 0;

    /// Reads up to limit rows whose key starts with the prefix and is above the given key, in key order.
    virtual void scan(const std::string &prefix, const std::string &after, std::size_t limit, RowsCompletion done) = 0;

    virtual void commit(const std::vector<TableWrite> &writes, CommitCompletion done) = 0;
};

} // namespace vanillatack
