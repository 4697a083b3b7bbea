#pragma once

#include "store/iobjectstore.h"
#include "store/itableservice.h"

#include <map>
#include <mutex>

namespace vanillatack {

/// Table rows and objects in memory, with synchronous and thread-safe operations. Contents are lost with the process.
/// A row that was deleted and written again starts at version 1.
class MemoryStore
{
public:
    [[nodiscard]] std::optional<TableRow> read(const std::string &key) const;
    [[nodiscard]] std::vector<TableRow> readMany(const std::vector<std::string> &keys) const;
    [[nodiscard]] std::vector<TableRow>
    scan(const std::string &prefix, const std::string &after, std::size_t limit) const;

    /// Errors: InvalidArgument when two writes name the same row.
    Result<TableCommit> commit(const std::vector<TableWrite> &writes);

    [[nodiscard]] std::optional<std::string> getObject(const std::string &name) const;

    /// Errors: Conflict when the name exists with other content.
    Result<void> putObject(const std::string &name, const std::string &content);

private:
    [[nodiscard]] std::uint64_t versionOf(const std::string &key) const;
    std::uint64_t apply(const TableWrite &write);

    mutable std::mutex m_mutex;
    std::map<std::string, TableRow> m_rows;
    std::map<std::string, std::string> m_objects;
};

} // namespace vanillatack
