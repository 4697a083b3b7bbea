#include "fleet/tablemirror.h"

#include <algorithm>

namespace vanillatack {

namespace {

/// First pause after a call that failed; doubled with each further one, and spread by half.
constexpr Duration FirstPause = std::chrono::milliseconds(120);
/// Longest pause. A service that returns is heard again within it.
constexpr Duration LongestPause = std::chrono::milliseconds(900);

} // namespace

TableMirror::TableMirror(IVersionedTable &table,
                         const IClock &clock,
                         IRandom &random,
                         DelayedCall callAfter,
                         ITableMirrorListener &listener,
                         TableMirrorSettings settings)
    : m_table(table)
    , m_clock(clock)
    , m_random(random)
    , m_callAfter(std::move(callAfter))
    , m_listener(listener)
    , m_settings(std::move(settings))
{
}

void TableMirror::start()
{
    m_reading.clear();
    readFrom({});
}

void TableMirror::readFrom(const std::string &key)
{
    if (key.empty()) {
        m_sentAt = m_clock.elapsed();
    }
    m_table.read(m_settings.table, key, [this](TableAnswer answer) {
        onRead(std::move(answer));
    });
}

void TableMirror::onRead(TableAnswer answer)
{
    if (answer.outcome != TableOutcome::Done) {
        retryLater(answer.outcome, [this] {
            start();
        });
        return;
    }
    if (m_reading.empty()) {
        m_readVersion = answer.version;
    }
    for (const VersionedRow &row : answer.rows) {
        m_reading[row.key] = row;
    }
    if (answer.hasMore && !answer.rows.empty()) {
        // The next key after the last one in byte order.
        readFrom(answer.rows.back().key + std::string(1, '\0'));
        return;
    }
    for (const auto &[key, row] : std::map(m_rows)) {
        if (!m_reading.contains(key)) {
            VersionedRow gone = row;
            gone.deleted = true;
            gone.version = std::max(gone.version, m_readVersion);
            apply(gone);
        }
    }
    for (const auto &[key, row] : m_reading) {
        apply(row);
    }
    m_reading.clear();
    m_version = std::max(m_version, m_readVersion);
    m_loaded = true;
    confirm(answer);
    watch();
}

void TableMirror::watch()
{
    m_sentAt = m_clock.elapsed();
    m_table.watch(m_settings.table, m_version, m_settings.watchTimeout, [this](TableAnswer answer) {
        onWatched(std::move(answer));
    });
}

void TableMirror::onWatched(TableAnswer answer)
{
    if (answer.outcome == TableOutcome::HistoryGone) {
        start();
        return;
    }
    if (answer.outcome != TableOutcome::Done) {
        retryLater(answer.outcome, [this] {
            watch();
        });
        return;
    }
    for (const VersionedRow &row : answer.rows) {
        apply(row);
    }
    m_version = std::max(m_version, answer.version);
    confirm(answer);
    if (answer.rows.empty() || m_settings.coalescingDelay == Duration{0}) {
        watch();
    } else {
        m_callAfter(m_settings.coalescingDelay, [this] {
            watch();
        });
    }
}

void TableMirror::apply(const VersionedRow &row)
{
    const auto known = m_rows.find(row.key);
    if (known != m_rows.end() && row.version <= known->second.version) {
        return;
    }
    if (row.deleted) {
        m_rows.erase(row.key);
    } else {
        m_rows[row.key] = row;
    }
    m_listener.onRow(row);
}

void TableMirror::confirm(const TableAnswer &answer)
{
    m_pause = Duration{0};
    if (!m_reachable) {
        m_reachable = true;
        m_listener.onReachable(true, TableOutcome::Done);
    }
    m_listener.onConfirmed({.serviceClock = answer.serviceClock,
                            .sent = m_sentAt,
                            .received = m_clock.elapsed(),
                            .confirmedAt = answer.confirmedAt});
}

void TableMirror::retryLater(TableOutcome reason, std::function<void()> next)
{
    if (m_reachable) {
        m_reachable = false;
        m_listener.onReachable(false, reason);
    }
    m_pause = std::clamp(m_pause * 2, FirstPause, LongestPause);
    const auto spread = static_cast<std::uint64_t>(m_pause.count() / 2);
    m_callAfter(m_pause / 2 + Duration(m_random.below(spread + 1)), std::move(next));
}

} // namespace vanillatack
