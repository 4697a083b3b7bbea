#pragma once

#include "base/error.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace vanillatack {

/// A row of the platform's table. Each write of the row increments its version; the first version is 1.
struct TableRow {
    std::string key;
    std::string value;
    std::uint64_t version = 0;

    bool operator==(const TableRow &) const = default;
};

/// A write of a transaction with its precondition.
struct TableWrite {
    std::string key;
    std::optional<std::string> value; ///< nullopt deletes the row.
    std::optional<std::uint64_t> expectedVersion; ///< 0: the row must be absent; nullopt: no precondition.
};

/// Result of a transaction. Either all writes were applied or none.
struct TableCommit {
    bool committed = false;
    std::vector<std::size_t> conflicts; ///< Indices of the writes whose precondition failed.
    std::vector<std::uint64_t> versions; ///< New row version of each write, 0 for a deletion; empty if not committed.
};

/// The transactional table service of the platform. It sustains several hundred transactions and about two thousand
/// reads per second. Completions run asynchronously on the node's decision thread, never from within the call.
/// Errors: Unavailable (the operation had no effect), OutcomeUnknown (a write may have taken effect), Timeout (reads).
class ITableService
{
public:
    using RowCompletion = std::function<void(Result<std::optional<TableRow>>)>;
    using RowsCompletion = std::function<void(Result<std::vector<TableRow>>)>;
    using CommitCompletion = std::function<void(Result<TableCommit>)>;

    virtual ~ITableService() = default;

    virtual void read(const std::string &key, RowCompletion done) = 0;

    /// Reads several rows in one call. The result omits absent rows.
    virtual void readMany(const std::vector<std::string> &keys, RowsCompletion done) = 0;

    /// Reads at most limit rows whose key starts with prefix and sorts after the key `after`, in key order.
    virtual void scan(const std::string &prefix, const std::string &after, std::size_t limit, RowsCompletion done) = 0;

    virtual void commit(const std::vector<TableWrite> &writes, CommitCompletion done) = 0;
};

} // namespace vanillatack
