#pragma once

#include "documents/internal/documentscontext.h"
#include "documents/internal/documentstate.h"

#include <array>

namespace vanillatack {

/// Fetches documents from peers and propagates them. A fetch carries the version of its sender, so it also serves as an
/// offer to a receiver with an older version.
class DocumentExchange
{
public:
    /// Called with a document from a peer; returns the outcome of its adoption.
    using ReceivedCallback = std::function<DocumentState::Outcome(DocumentKind, Document, std::string_view source)>;

    DocumentExchange(DocumentsContext &context, const DocumentState &state, ReceivedCallback received);

    /// Retries fetches that were not answered in time.
    void tick();

    void receive(const Endpoint &from, const DocumentFetch &message);
    void receive(const Endpoint &from, const DocumentPush &message);

    /// Compares the version of a peer with the one in force: fetches a newer one, or offers the own one if the peer's
    /// is older.
    void compare(const Endpoint &peer, DocumentKind kind, std::uint64_t peerVersion);

    /// Requests the document from a random peer if this node has none.
    void requestInitial(DocumentKind kind);

    /// Sends the document in force to some random peers.
    void push(DocumentKind kind);

    /// Notifies some random peers of the version in force; they fetch the content.
    void offer(DocumentKind kind);

private:
    struct FetchState {
        std::uint64_t targetVersion = 0; ///< Version to fetch; 0 when no fetch is outstanding.
        TimePoint sentAt;
        int retries = 0;
        Endpoint source; ///< Last peer that reported the version or a later one.
    };

    void requestVersion(const Endpoint &peer, DocumentKind kind, std::uint64_t version);
    void sendFetch(const Endpoint &peer, DocumentKind kind);
    void sendPush(const Endpoint &peer, DocumentKind kind);
    void retryFetch(DocumentKind kind, FetchState &fetch);
    FetchState &fetchState(DocumentKind kind);

    DocumentsContext &m_context;
    const DocumentState &m_state;
    ReceivedCallback m_onReceived;
    std::array<FetchState, DocumentKindNames.entries().size()> m_fetches;
};

} // namespace vanillatack
