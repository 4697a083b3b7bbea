#pragma once

#include "documents/internal/documentscontext.h"
#include "documents/internal/withdrawnset.h"

namespace vanillatack {

/// Spreads withdrawn keys between nodes: new ones at once to some random peers, and whole sets when probes show a
/// different count or hash.
class WithdrawalSpread
{
public:
    /// Told about keys from a peer; adds those that are new and returns them.
    using Received = std::function<std::vector<WithdrawnKey>(const std::vector<WithdrawnKey> &)>;

    WithdrawalSpread(DocumentsContext &context, const WithdrawnSet &known, Received received);

    /// Sends keys that are new to this node to some random peers.
    void tell(const std::vector<WithdrawnKey> &added);

    /// Only a ready node answers requests for the set, since others may know only a part of it.
    void receive(const Endpoint &from, const WithdrawalSync &message, bool ready);

    void compare(const Endpoint &peer, const StateVersions &versions);

    /// Asks a random peer for its set while this node starts.
    void requestFirst();

    /// Whether a peer answered with its set since start.
    [[nodiscard]] bool hasHeard() const
    {
        return m_heard;
    }

private:
    void requestSet(const Endpoint &peer);
    [[nodiscard]] std::vector<WithdrawnKey> missingIn(const std::vector<WithdrawnKey> &keys) const;

    DocumentsContext &m_context;
    const WithdrawnSet &m_known;
    Received m_received;
    std::optional<Endpoint> m_asked; ///< Last peer that was asked for its set.
    TimePoint m_nextSyncAt;
    Duration m_syncInterval; ///< Grows while exchanges change nothing.
    bool m_heard = false;
};

} // namespace vanillatack
