#include "documents/internal/withdrawaltable.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace vanillatack {

namespace {

constexpr Log Logger("documents");
constexpr std::size_t RowsPerScan = 500;
constexpr std::size_t RowsPerTransaction = 64;
// Long enough for the other readers to see, by the marker row, that one of them wrote the missing rows.
constexpr std::chrono::seconds LongestPatience{4};
constexpr int MarkerBits = 64;

} // namespace

WithdrawalTable::WithdrawalTable(DocumentsContext &context, const WithdrawnSet &known, Scanned scanned)
    : m_context(context)
    , m_known(known)
    , m_scanned(std::move(scanned))
    , m_nextScanAt(context.clock.now())
    , m_nextWriteAt(context.clock.now())
    , m_nextCheckAt(context.clock.now())
{
}

void WithdrawalTable::tick(bool ready, std::uint64_t marker)
{
    const TimePoint now = m_context.clock.now();
    if (!m_scanning && now >= m_nextScanAt && scanIsDue(ready, marker)) {
        m_scanningMarker = marker;
        m_page.clear();
        scan(std::string(WithdrawnPrefix));
    }
    if (now >= m_nextCheckAt && m_context.isReader()) {
        m_nextCheckAt = now + m_context.settings.readerInterval;
        addMissing();
    }
    completeOverdue();
    if (!m_writing && now >= m_nextWriteAt && !m_pending.empty()) {
        writePending();
    }
}

bool WithdrawalTable::scanIsDue(bool ready, std::uint64_t marker) const
{
    if (!m_lastScanAt) {
        return true;
    }
    if (!m_context.isReader()) {
        return !ready && marker != m_scannedMarker;
    }
    return marker != m_scannedMarker || m_context.clock.now() - *m_lastScanAt >= m_context.settings.scanInterval;
}

void WithdrawalTable::scan(const std::string &after)
{
    m_scanning = true;
    m_context.table.scan(std::string(WithdrawnPrefix),
                         after,
                         RowsPerScan,
                         m_context.whileAlive([this](const Result<std::vector<TableRow>> &result) {
                             m_scanning = false;
                             m_context.noteAnswer(result);
                             onRows(result);
                         }));
}

void WithdrawalTable::onRows(const Result<std::vector<TableRow>> &result)
{
    if (!result) {
        m_nextScanAt = m_context.clock.now() + m_context.settings.readerInterval;
        return;
    }
    for (const TableRow &row : result.value()) {
        const auto withdrawn = parseWithdrawal(row);
        if (withdrawn) {
            m_page.push_back(withdrawn.value());
        } else {
            Logger.error(withdrawn.error().text(), {{"row", row.key}});
        }
    }
    if (result.value().size() < RowsPerScan) {
        finishScan();
    } else {
        scan(result.value().back().key);
    }
}

void WithdrawalTable::finishScan()
{
    m_lastScanAt = m_context.clock.now();
    m_scannedMarker = m_scanningMarker;
    m_inTable.clear();
    for (const WithdrawnKey &withdrawn : m_page) {
        m_inTable.insert(withdrawn.key);
    }
    m_scanned(std::exchange(m_page, {}));
}

/// Takes over keys whose node could not write them, e.g. since it was replaced while the table was down.
void WithdrawalTable::addMissing()
{
    std::vector<KeyId> missing;
    if (m_lastScanAt && m_known.count() != m_inTable.size()) {
        for (const WithdrawnKey &withdrawn : m_known.all()) {
            if (!m_inTable.contains(withdrawn.key)) {
                missing.push_back(withdrawn.key);
            }
        }
    }
    const TimePoint now = m_context.clock.now();
    if (missing.empty()) {
        m_missingSince.reset();
    } else if (!m_missingSince) {
        m_missingSince = now;
        m_patience = m_context.settings.readerInterval
            + std::chrono::milliseconds(m_context.random.below(std::chrono::milliseconds(LongestPatience).count()));
    } else if (now - *m_missingSince >= m_patience) {
        for (const KeyId &key : missing) {
            m_pending.try_emplace(key);
        }
    }
}

void WithdrawalTable::write(const KeyId &key, IDocuments::WithdrawCompletion done)
{
    Pending &pending = m_pending[key];
    if (pending.done) {
        // Two operators withdraw the same key; the row serves both.
        pending.done = [first = std::move(pending.done), second = std::move(done)](const Result<void> &result) {
            first(result);
            second(result);
        };
        return;
    }
    pending = {.done = std::move(done), .deadline = m_context.clock.now() + m_context.settings.operationTimeout};
    m_nextWriteAt = m_context.clock.now();
}

void WithdrawalTable::writePending()
{
    std::vector<TableWrite> writes;
    std::vector<KeyId> keys;
    for (auto entry = m_pending.begin(); entry != m_pending.end() && keys.size() < RowsPerTransaction;) {
        const auto withdrawn = m_known.find(entry->first);
        if (!withdrawn || (!entry->second.done && m_inTable.contains(entry->first))) {
            entry = m_pending.erase(entry); // Forgotten, or written by another node meanwhile.
            continue;
        }
        writes.push_back({.key = withdrawnRowKey(withdrawn->key),
                          .value = formatWithdrawal(*withdrawn),
                          .expectedVersion = std::nullopt});
        keys.push_back(withdrawn->key);
        ++entry;
    }
    if (keys.empty()) {
        return;
    }
    writes.push_back({.key = std::string(WithdrawalMarkerKey),
                      .value = m_context.random.hexToken(MarkerBits),
                      .expectedVersion = std::nullopt});
    m_writing = true;
    m_context.table.commit(writes, m_context.whileAlive([this, keys](const Result<TableCommit> &result) {
        m_writing = false;
        m_context.noteAnswer(result);
        onWritten(keys, result);
    }));
}

void WithdrawalTable::onWritten(const std::vector<KeyId> &keys, const Result<TableCommit> &result)
{
    const bool written = result.has_value() && result.value().committed;
    m_nextWriteAt = m_context.clock.now() + (written ? Duration::zero() : m_context.settings.retryInterval);
    if (written) {
        m_inTable.insert(keys.begin(), keys.end());
        const auto completions = takeCompletions(keys);
        for (const KeyId &key : keys) {
            m_pending.erase(key);
        }
        complete(completions, success());
    } else if (!result && result.error().kind == ErrorKind::Unavailable) {
        complete(takeCompletions(keys),
                 makeError(ErrorKind::Unavailable,
                           "The withdrawal holds and spreads, but is not in the table yet: " + result.error().message,
                           "No action is needed; any node writes it when the table answers."));
    }
    // Writing a row again does no harm, so a lost answer needs no reading back.
}

void WithdrawalTable::completeOverdue()
{
    std::vector<KeyId> overdue;
    for (const auto &[key, pending] : m_pending) {
        if (pending.done && m_context.clock.now() >= pending.deadline) {
            overdue.push_back(key);
        }
    }
    complete(takeCompletions(overdue),
             makeError(ErrorKind::OutcomeUnknown,
                       "The withdrawal holds and spreads, but the table did not confirm it.",
                       "No action is needed; any node writes it when the table answers."));
}

// Completions are taken out first, since they may call write().
std::vector<IDocuments::WithdrawCompletion> WithdrawalTable::takeCompletions(const std::vector<KeyId> &keys)
{
    std::vector<IDocuments::WithdrawCompletion> completions;
    for (const KeyId &key : keys) {
        const auto found = m_pending.find(key);
        if (found != m_pending.end() && found->second.done) {
            completions.push_back(std::exchange(found->second.done, {}));
        }
    }
    return completions;
}

void WithdrawalTable::complete(const std::vector<IDocuments::WithdrawCompletion> &completions,
                               const Result<void> &result)
{
    for (const IDocuments::WithdrawCompletion &done : completions) {
        done(result);
    }
}

void WithdrawalTable::remove(const std::vector<WithdrawnKey> &keys)
{
    std::vector<TableWrite> writes;
    for (const WithdrawnKey &withdrawn : keys) {
        m_pending.erase(withdrawn.key);
        if (m_inTable.erase(withdrawn.key) > 0 && m_context.isReader() && writes.size() < RowsPerTransaction) {
            writes.push_back({.key = withdrawnRowKey(withdrawn.key), .value = {}, .expectedVersion = {}});
        }
    }
    if (!writes.empty()) {
        // Rows that stay are removed after a later scan.
        m_context.table.commit(writes, [](const Result<TableCommit> &) {});
    }
}

} // namespace vanillatack
