#pragma once

#include "base/random.h"
#include "fleet/iversionedtable.h"
#include "fleet/storeconfirmation.h"

#include <map>

namespace vanillatack {

/// Told about the mirrored rows.
class ITableMirrorListener
{
public:
    virtual ~ITableMirrorListener() = default;

    /// A row is new, has changed, or is gone (deleted).
    virtual void onRow(const VersionedRow &row) = 0;

    /// The mirror was the newest state.
    virtual void onConfirmed(const StoreConfirmation &confirmation) = 0;

    /// The service was lost or is heard again.
    virtual void onReachable(bool reachable, TableOutcome reason) = 0;
};

struct TableMirrorSettings {
    std::string table;
    Duration watchTimeout = std::chrono::seconds(20); ///< Of one call that waits for changes.
    Duration coalescingDelay{0}; ///< Pause after a change, so that changes in quick succession cost one call.
};

/// Keeps a copy of a table's rows: reads it whole, then follows its changes. Versions of a row never fall.
class TableMirror
{
public:
    /// All references must outlive the mirror.
    TableMirror(IVersionedTable &table,
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

    /// Whether the table has been read whole at least once.
    [[nodiscard]] bool loaded() const
    {
        return m_loaded;
    }

private:
    void readFrom(const std::string &key);
    void onRead(TableAnswer answer);
    void watch();
    void onWatched(TableAnswer answer);
    void retryLater(TableOutcome reason, std::function<void()> next);
    void apply(const VersionedRow &row);
    void confirm(const TableAnswer &answer);

    IVersionedTable &m_table;
    const IClock &m_clock;
    IRandom &m_random;
    DelayedCall m_callAfter;
    ITableMirrorListener &m_listener;
    TableMirrorSettings m_settings;
    std::map<std::string, VersionedRow> m_rows;
    std::map<std::string, VersionedRow> m_reading; ///< Of a read that is not complete yet.
    std::uint64_t m_version = 0;
    std::uint64_t m_readVersion = 0; ///< Of the first part of a read.
    Duration m_sentAt{0};
    Duration m_pause{0};
    bool m_loaded = false;
    bool m_reachable = true;
};

} // namespace vanillatack
