#pragma once

#include "documents/internal/documentrows.h"
#include "documents/internal/documentscontext.h"
#include "documents/internal/documentstate.h"

#include <array>

namespace vanillatack {

/// Polls the pointer rows and fetches new documents from the object store.
class PlatformReader
{
public:
    /// Called with each document fetched from the platform.
    using ReceivedCallback = std::function<void(DocumentKind, Document)>;

    PlatformReader(DocumentsContext &context, DocumentState &state, ReceivedCallback received);

    /// Polls if due. A node that is not ready polls immediately, then with backoff.
    void tick(bool ready);

    /// Whether the pointer rows were read since start and this node has the versions that they name, or newer ones.
    [[nodiscard]] bool isUpToDate() const;

    /// Row version of the change marker of the withdrawn keys; 0 if the row is absent or was not read yet.
    [[nodiscard]] std::uint64_t withdrawalMarker() const
    {
        return m_withdrawalMarker;
    }

private:
    struct PointerState {
        std::uint64_t version = 0; ///< Highest version seen in the pointer row.
        bool fetching = false;
    };

    [[nodiscard]] Duration pollInterval(bool ready);
    void poll();
    void onRows(const Result<std::vector<TableRow>> &result);
    void onPointer(DocumentKind kind, const TableRow &row);
    void fetchObject(DocumentKind kind, std::uint64_t version, const std::string &digest);
    void onObject(DocumentKind kind,
                  std::uint64_t version,
                  const std::string &digest,
                  const Result<std::optional<std::string>> &result);
    /// Logs a change between failing and succeeding platform calls. The reason is that of a failure.
    void logReachability(bool reachable, const std::string &reason);

    DocumentsContext &m_context;
    DocumentState &m_state;
    ReceivedCallback m_onReceived;
    std::array<PointerState, DocumentKindNames.entries().size()> m_pointers;
    std::optional<TimePoint> m_lastPollAt;
    Duration m_startInterval; ///< Poll interval of a node that is neither ready nor a reader; doubles with each poll up
                              ///< to maxStartPollInterval.
    Duration m_firstPollOffset; ///< Random part that shortens the first fallback interval, so that nodes do not poll
                                ///< together.
    std::uint64_t m_withdrawalMarker = 0;
    bool m_polling = false;
    bool m_pointersRead = false;
    bool m_reachable = true;
};

} // namespace vanillatack
