#pragma once

#include "store/iobjectstore.h"
#include "store/itableservice.h"

#include <map>
#include <mutex>

namespace vanillatack {

/// Thread-safe in-memory table and object store with synchronous operations. The content is lost when the process ends.
/// A row that is written again after its deletion starts at version 1.
class MemoryStore
{
public:
    [[nodiscard]] std::optional<TableRow> read(const std::string &key) const;
    [[nodiscard]] std::vector<TableRow> readMany(const std::vector<std::string> &keys) const;
    [[nodiscard]] std::vector<TableRow>
    scan(const std::string &prefix, const std::string &after, std::size_t limit) const;

    /// Errors: InvalidArgument if two writes have the same key.
    Result<TableCommit> commit(const std::vector<TableWrite> &writes);

    [[nodiscard]] std::optional<std::string> getObject(const std::string &name) const;

    /// Errors: Conflict if the object exists with different content.
    Result<void> putObject(const std::string &name, const std::string &content);

private:
    [[nodiscard]] std::uint64_t versionOf(const std::string &key) const;
    std::uint64_t apply(const TableWrite &write);

    mutable std::mutex m_mutex;
    std::map<std::string, TableRow> m_rows;
    std::map<std::string, std::string> m_objects;
};

} // namespace vanillatack
