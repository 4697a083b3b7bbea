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

/// Outcome of a call to the store.
enum class TableOutcome {
    Done,
    Conflict, ///< A row had another version; nothing was written.
    HistoryGone, ///< The store does not have all changes since the version; the table must be read again.
    Refused, ///< Not executed: too many calls, or the store is unavailable.
    Unknown, ///< No answer. A write may have been executed, or may still be while its condition holds.
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
    std::vector<VersionedRow> rows; ///< Rows read or changed; after a conflict, the rows that had another version.
    std::uint64_t version = 0; ///< Newest version of the store at the time of its answer; see makeStoreVersion().
    Duration storeClock{0}; ///< Steady clock of the store at the time of its answer.
    bool hasMore = false;
    /// Local time at which the answer was known to be the newest state. Set only in answers forwarded by another node,
    /// where storeClock is unknown.
    std::optional<Duration> confirmedAt = std::nullopt;
};

/// A write of one row that is executed only if the row has the expected version; version 0 means that the row does not
/// exist.
struct ConditionalWrite {
    std::string table;
    std::string key;
    std::optional<std::string> value; ///< nullopt removes the row.
    std::uint64_t expectedVersion = 0;
};

using TableCompletion = std::function<void(TableAnswer)>;

/// A linearizable store of tables of versioned rows. Each completion is called once, asynchronously, on the event
/// loop's thread.
class ITableStore
{
public:
    virtual ~ITableStore() = default;

    /// Reads the rows whose keys are not less than the given one, ordered by key.
    virtual void read(const std::string &table, const std::string &fromKey, TableCompletion completion) = 0;

    /// Waits up to the given time for changes that are newer than the version.
    virtual void
    watch(const std::string &table, std::uint64_t afterVersion, Duration wait, TableCompletion completion) = 0;

    virtual void write(const ConditionalWrite &write, TableCompletion completion) = 0;
};

/// Calls a function after a delay, on the event loop's thread.
using DelayedCall = std::function<void(Duration, std::function<void()>)>;

} // namespace vanillatack
