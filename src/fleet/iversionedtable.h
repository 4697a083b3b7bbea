#pragma once

#include "base/clock.h"
#include "base/nametable.h"
#include "model/versionedrow.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace vanillatack {

/// How a call of the table service ended.
enum class TableOutcome {
    Done,
    Conflict, ///< A row had another version; nothing was written.
    HistoryGone, ///< Changes since the version are no longer known; read the table anew.
    Refused, ///< Certainly not done: too many calls, or the service is unavailable.
    Unknown, ///< No answer. A write may have been done, or be done later while its condition holds.
};

inline constexpr auto TableOutcomeNames = makeNameTable<TableOutcome, 5>({
    {TableOutcome::Done, "done"},
    {TableOutcome::Conflict, "conflict"},
    {TableOutcome::HistoryGone, "history-gone"},
    {TableOutcome::Refused, "refused"},
    {TableOutcome::Unknown, "unknown"},
});

struct TableAnswer {
    TableOutcome outcome = TableOutcome::Unknown;
    std::vector<VersionedRow> rows; ///< Of a conflict: the rows that were in the way.
    std::uint64_t version = 0; ///< Newest version of the service when it answered.
    Duration serviceClock{0}; ///< The service's steady clock when it answered.
    bool hasMore = false;
    /// Local time at which the answer was still the newest state, where another node has passed it on; serviceClock is
    /// unknown then.
    std::optional<Duration> confirmedAt = std::nullopt;
};

/// A write of one row under the condition that it has the given version; version 0: it does not exist.
struct ConditionalWrite {
    std::string table;
    std::string key;
    std::optional<std::string> value; ///< nullopt removes the row.
    std::uint64_t expectedVersion = 0;
};

using TableCompletion = std::function<void(TableAnswer)>;

/// A linearizable service of versioned rows. Completions are called later, once, on the loop's thread.
class IVersionedTable
{
public:
    virtual ~IVersionedTable() = default;

    /// Rows with keys from the given one on, in the order of keys.
    virtual void read(const std::string &table, const std::string &fromKey, TableCompletion completion) = 0;

    /// Waits up to the given time for changes after the version.
    virtual void
    watch(const std::string &table, std::uint64_t afterVersion, Duration wait, TableCompletion completion) = 0;

    virtual void write(const ConditionalWrite &write, TableCompletion completion) = 0;
};

/// Calls a function after a delay, on the loop's thread.
using DelayedCall = std::function<void(Duration, std::function<void()>)>;

} // namespace vanillatack
