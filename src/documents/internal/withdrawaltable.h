#pragma once

#include "documents/internal/documentrows.h"
#include "documents/internal/documentscontext.h"
#include "documents/internal/withdrawnset.h"

#include <absl/container/flat_hash_set.h>

#include <map>

namespace vanillatack {

/// Synchronizes the withdrawn keys with their rows in the table. Writes the keys withdrawn at this node and, on a
/// reader, keys that the table lacks. Scans the rows at start and, on a reader, when the change marker has changed.
class WithdrawalTable
{
public:
    using ScannedCallback = std::function<void(const std::vector<WithdrawnKey> &)>;

    WithdrawalTable(DocumentsContext &context, const WithdrawnSet &withdrawn, ScannedCallback scanned);

    /// The marker is the row version of the change marker from the last poll.
    void tick(bool ready, std::uint64_t marker);

    /// Writes the key and retries until it is written. Completes on success, on the first Unavailable error or at the
    /// operation timeout.
    void write(const KeyId &key, IDocuments::WithdrawCompletion done);

    /// Deletes the rows of keys whose retention has expired, on a reader only.
    void remove(const std::vector<WithdrawnKey> &keys);

    /// Whether a scan has completed since start.
    [[nodiscard]] bool hasScanned() const
    {
        return m_lastScanAt.has_value();
    }

private:
    struct PendingWrite {
        IDocuments::WithdrawCompletion done; ///< Empty once completed, and for missing rows that a reader writes.
        TimePoint deadline;
    };

    [[nodiscard]] bool scanIsDue(bool ready, std::uint64_t marker) const;
    void scan(const std::string &after);
    void onRows(const Result<std::vector<TableRow>> &result);
    void finishScan();
    void queueMissing();
    void writePending();
    void onWritten(const std::vector<KeyId> &keys, const Result<TableCommit> &result);
    std::vector<IDocuments::WithdrawCompletion> removeCompletions(const std::vector<KeyId> &keys);
    static void complete(const std::vector<IDocuments::WithdrawCompletion> &completions, const Result<void> &result);
    void completeOverdue();

    DocumentsContext &m_context;
    const WithdrawnSet &m_withdrawn;
    ScannedCallback m_onScanned;
    std::map<KeyId, PendingWrite> m_pending; ///< Ordered, so that simulations are deterministic.
    absl::flat_hash_set<KeyId> m_keysInTable; ///< Keys with a row, from the last scan and own writes.
    std::vector<WithdrawnKey> m_scannedKeys; ///< Keys read so far by the scan in progress.
    std::optional<TimePoint> m_lastScanAt;
    std::optional<TimePoint> m_missingSince; ///< When this reader first saw that the table lacks a key.
    TimePoint m_nextScanAt;
    TimePoint m_nextWriteAt;
    TimePoint m_nextCheckAt; ///< Next check for missing rows.
    Duration m_missingDelay{0}; ///< Random delay before this reader writes missing rows, so that another reader can
                                ///< write them first.
    std::uint64_t m_scannedMarker = 0; ///< Change marker at the start of the last complete scan.
    std::uint64_t m_scanningMarker = 0; ///< Change marker at the start of the scan in progress.
    bool m_scanning = false;
    bool m_writing = false;
};

} // namespace vanillatack
