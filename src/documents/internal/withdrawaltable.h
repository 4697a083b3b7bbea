#pragma once

#include "documents/internal/documentrows.h"
#include "documents/internal/documentscontext.h"
#include "documents/internal/withdrawnset.h"

#include <absl/container/flat_hash_set.h>

#include <map>

namespace vanillatack {

/// Keeps the rows of withdrawn keys in the table up to date: writes those withdrawn at this node, and, on a reader,
/// those that the table lacks; scans the rows at start and, on a reader, when the marker row changed.
class WithdrawalTable
{
public:
    using Scanned = std::function<void(const std::vector<WithdrawnKey> &)>;

    WithdrawalTable(DocumentsContext &context, const WithdrawnSet &known, Scanned scanned);

    /// Marker is the version of the marker row as last polled.
    void tick(bool ready, std::uint64_t marker);

    /// Writes the key until the table has it. Completes with the first certain outcome.
    void write(const KeyId &key, IDocuments::WithdrawCompletion done);

    /// Removes rows of keys that were forgotten.
    void remove(const std::vector<WithdrawnKey> &keys);

    /// Whether all rows were read since start.
    [[nodiscard]] bool hasScanned() const
    {
        return m_lastScanAt.has_value();
    }

private:
    struct Pending {
        IDocuments::WithdrawCompletion done; ///< Empty once completed.
        TimePoint deadline;
    };

    [[nodiscard]] bool scanIsDue(bool ready, std::uint64_t marker) const;
    void scan(const std::string &after);
    void onRows(const Result<std::vector<TableRow>> &result);
    void finishScan();
    void addMissing();
    void writePending();
    void onWritten(const std::vector<KeyId> &keys, const Result<TableCommit> &result);
    std::vector<IDocuments::WithdrawCompletion> takeCompletions(const std::vector<KeyId> &keys);
    static void complete(const std::vector<IDocuments::WithdrawCompletion> &completions, const Result<void> &result);
    void completeOverdue();

    DocumentsContext &m_context;
    const WithdrawnSet &m_known;
    Scanned m_scanned;
    std::map<KeyId, Pending> m_pending; ///< Ordered, so that runs with the same seed are equal.
    absl::flat_hash_set<KeyId> m_inTable; ///< As of the last scan and own writes.
    std::vector<WithdrawnKey> m_page; ///< Rows of the scan in progress.
    std::optional<TimePoint> m_lastScanAt;
    std::optional<TimePoint> m_missingSince; ///< Since when the table lacks a known key, on a reader.
    TimePoint m_nextScanAt;
    TimePoint m_nextWriteAt;
    TimePoint m_nextCheckAt; ///< For rows that the table lacks.
    Duration m_patience{0}; ///< How long this reader leaves a missing row to the others.
    std::uint64_t m_scannedMarker = 0;
    std::uint64_t m_scanningMarker = 0;
    bool m_scanning = false;
    bool m_writing = false;
};

} // namespace vanillatack
