#pragma once

#include "documents/internal/documentrows.h"
#include "documents/internal/documentscontext.h"
#include "documents/internal/documentstate.h"

#include <array>

namespace vanillatack {

/// Polls the pointer rows and gets new documents from the object store.
class PlatformReader
{
public:
    /// Told about a document of the platform; adopts it.
    using Received = std::function<void(DocumentKind, DocumentVersion)>;

    PlatformReader(DocumentsContext &context, DocumentState &state, Received received);

    /// Polls when due. A node that is not ready polls at once and then backs off.
    void tick(bool ready);

    /// Whether the pointers were read since start and this node has what they named.
    [[nodiscard]] bool isConfirmed() const;

    /// Version of the row that changes with the withdrawn keys in the table; 0 when absent or not read yet.
    [[nodiscard]] std::uint64_t withdrawalMarker() const
    {
        return m_withdrawalMarker;
    }

private:
    struct Pointer {
        std::uint64_t version = 0; ///< Highest seen.
        bool getting = false;
    };

    [[nodiscard]] Duration interval(bool ready);
    void poll();
    void onRows(const Result<std::vector<TableRow>> &result);
    void onPointer(DocumentKind kind, const TableRow &row);
    void getObject(DocumentKind kind, std::uint64_t version, const std::string &digest);
    void onObject(DocumentKind kind,
                  std::uint64_t version,
                  const std::string &digest,
                  const Result<std::optional<std::string>> &result);
    void logReachability(bool reachable);

    DocumentsContext &m_context;
    DocumentState &m_state;
    Received m_received;
    std::array<Pointer, DocumentKindNames.entries().size()> m_pointers;
    std::optional<TimePoint> m_lastPollAt;
    Duration m_startInterval;
    Duration m_phase; ///< Spreads the polls of the nodes over the interval.
    std::uint64_t m_withdrawalMarker = 0;
    bool m_polling = false;
    bool m_answered = false;
    bool m_reachable = true;
};

} // namespace vanillatack
