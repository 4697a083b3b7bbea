#include "store/memorystore.h"

#include <set>

namespace vanillatack {

std::optional<TableRow> MemoryStore::read(const std::string &key) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? std::nullopt : std::optional(found->second);
}

std::vector<TableRow> MemoryStore::readMany(const std::vector<std::string> &keys) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<TableRow> rows;
    for (const std::string &key : keys) {
        const auto found = m_rows.find(key);
        if (found != m_rows.end()) {
            rows.push_back(found->second);
        }
    }
    return rows;
}

std::vector<TableRow> MemoryStore::scan(const std::string &prefix, const std::string &after, std::size_t limit) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<TableRow> rows;
    auto row = after < prefix ? m_rows.lower_bound(prefix) : m_rows.upper_bound(after);
    for (; row != m_rows.end() && rows.size() < limit && row->first.starts_with(prefix); ++row) {
        rows.push_back(row->second);
    }
    return rows;
}

Result<TableCommit> MemoryStore::commit(const std::vector<TableWrite> &writes)
{
    const std::lock_guard lock(m_mutex);
    TableCommit result;
    std::set<std::string> seenKeys;
    for (std::size_t index = 0; index < writes.size(); ++index) {
        const TableWrite &write = writes[index];
        if (!seenKeys.insert(write.key).second) {
            return makeError(ErrorKind::InvalidArgument,
                             "The transaction writes row " + write.key + " more than once.",
                             "Write each row at most once per transaction.");
        }
        if (write.expectedVersion && *write.expectedVersion != versionOf(write.key)) {
            result.conflicts.push_back(index);
        }
    }
    result.committed = result.conflicts.empty();
    if (result.committed) {
        for (const TableWrite &write : writes) {
            result.versions.push_back(apply(write));
        }
    }
    return result;
}

std::optional<std::string> MemoryStore::getObject(const std::string &name) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects.find(name);
    return found == m_objects.end() ? std::nullopt : std::optional(found->second);
}

Result<void> MemoryStore::putObject(const std::string &name, const std::string &content)
{
    const std::lock_guard lock(m_mutex);
    const auto [object, isNew] = m_objects.emplace(name, content);
    if (!isNew && object->second != content) {
        return makeError(ErrorKind::Conflict,
                         "The object " + name + " exists with different content.",
                         "Use a name that is derived from the content.");
    }
    return success();
}

std::uint64_t MemoryStore::versionOf(const std::string &key) const
{
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? 0 : found->second.version;
}

std::uint64_t MemoryStore::apply(const TableWrite &write)
{
    if (!write.value) {
        m_rows.erase(write.key);
        return 0;
    }
    TableRow &row = m_rows[write.key];
    row.key = write.key;
    row.value = *write.value;
    return ++row.version;
}

} // namespace vanillatack
