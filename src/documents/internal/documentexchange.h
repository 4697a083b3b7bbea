#pragma once

#include "documents/internal/documentscontext.h"
#include "documents/internal/documentstate.h"

#include <array>

namespace vanillatack {

/// Fetches documents from peers and spreads them. A fetch also tells the receiver which version its sender holds, so
/// it serves as an offer to a receiver that holds an older one.
class DocumentExchange
{
public:
    /// Told about a document from a peer; adopts it.
    using Received = std::function<DocumentState::Outcome(DocumentKind, DocumentVersion, std::string_view source)>;

    DocumentExchange(DocumentsContext &context, const DocumentState &state, Received received);

    /// Repeats fetches that were not answered.
    void tick();

    void receive(const Endpoint &from, const DocumentFetch &message);
    void receive(const Endpoint &from, const DocumentPush &message);

    /// A peer has this version: fetches it when it is newer, offers the own one when it is older.
    void compare(const Endpoint &peer, DocumentKind kind, std::uint64_t peerVersion);

    /// Asks a random peer for the document while this node has none.
    void requestFirst(DocumentKind kind);

    /// Sends the document in force to some random peers.
    void push(DocumentKind kind);

    /// Tells some random peers of the version in force; they fetch the content.
    void offer(DocumentKind kind);

private:
    struct Fetch {
        std::uint64_t wanted = 0; ///< 0 when nothing is awaited.
        TimePoint sentAt;
        int repeats = 0;
        Endpoint source; ///< Last peer that was known to have it.
    };

    void want(const Endpoint &peer, DocumentKind kind, std::uint64_t version);
    void sendFetch(const Endpoint &peer, DocumentKind kind);
    void sendPush(const Endpoint &peer, DocumentKind kind);
    void repeat(DocumentKind kind, Fetch &fetch);
    Fetch &fetchOf(DocumentKind kind);

    DocumentsContext &m_context;
    const DocumentState &m_state;
    Received m_received;
    std::array<Fetch, DocumentKindNames.entries().size()> m_fetches;
};

} // namespace vanillatack
