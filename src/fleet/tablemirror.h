#pragma once

#include "base/random.h"
#include "fleet/itablestore.h"
#include "fleet/storeconfirmation.h"

#include <map>

namespace vanillatack {

/// Notified of changes to the mirrored rows.
class ITableMirrorListener
{
public:
    virtual ~ITableMirrorListener() = default;

    /// A row was added, changed or removed (`deleted` is set).
    virtual void onRow(const VersionedRow &row) = 0;

    /// The mirror contained the newest state of the table at the time of the confirmation.
    virtual void onConfirmed(const StoreConfirmation &confirmation) = 0;

    /// The store became reachable or unreachable; the reason is the outcome of the last call.
    virtual void onReachable(bool reachable, TableOutcome reason) = 0;
};

struct TableMirrorSettings {
    std::string table;
    Duration watchTimeout = std::chrono::seconds(20); ///< Longest time that one call waits for changes.
    /// Delay after a change, so that changes in quick succession are fetched with one call.
    Duration coalescingDelay{0};
};

/// Maintains a copy of a table: reads all rows, then watches for changes. The version of a row never decreases. When
/// the store has come back from an older copy, rows that it lacks are kept for a while as unconfirmed, in which those
/// who rely on them write them again.
class TableMirror
{
public:
    /// All references must outlive the mirror.
    TableMirror(ITableStore &store,
                const IClock &clock,
                IRandom &random,
                DelayedCall callAfter,
                ITableMirrorListener &listener,
                TableMirrorSettings settings);

    void start();

    [[nodiscard]] const std::map<std::string, VersionedRow> &rows() const
    {
        return m_rows;
    }

    /// Whether the whole table has been read at least once.
    [[nodiscard]] bool loaded() const
    {
        return m_loaded;
    }

    /// Whether the row is kept although the store, since its return from an older copy, does not have it.
    [[nodiscard]] bool isUnconfirmed(const std::string &key) const
    {
        return m_unconfirmed.contains(key);
    }

private:
    void removeMissingRows();
    void dropUnconfirmed();
    void readFrom(const std::string &key);
    void onRead(TableAnswer answer);
    void watch();
    void onWatched(TableAnswer answer);
    void retryLater(TableOutcome reason, std::function<void()> next);
    void apply(const VersionedRow &row);
    void confirm(const TableAnswer &answer);

    ITableStore &m_store;
    const IClock &m_clock;
    IRandom &m_random;
    DelayedCall m_callAfter;
    ITableMirrorListener &m_listener;
    TableMirrorSettings m_settings;
    std::map<std::string, VersionedRow> m_rows;
    std::map<std::string, VersionedRow> m_pendingRead; ///< Rows received so far by a read that is not complete.
    std::map<std::string, Duration>
        m_unconfirmed; ///< Keys of unconfirmed rows and the times at which they are dropped.
    std::uint64_t m_version = 0;
    std::uint64_t m_pendingReadVersion = 0; ///< Version of the store in the first page of the read.
    Duration m_sentAt{0};
    Duration m_retryDelay{0};
    bool m_loaded = false;
    bool m_reachable = true;
};

} // namespace vanillatack
