#pragma once

#include "documents/internal/documentscontext.h"
#include "documents/internal/withdrawnset.h"

namespace vanillatack {

/// Propagates withdrawn keys between nodes: sends new ones to some random peers immediately, and exchanges the full
/// sets with a peer that reports a different count or hash.
class WithdrawalGossip
{
public:
    /// Called with keys from a peer; adds the new ones and returns them.
    using ReceivedCallback = std::function<std::vector<WithdrawnKey>(const std::vector<WithdrawnKey> &)>;

    WithdrawalGossip(DocumentsContext &context, const WithdrawnSet &withdrawn, ReceivedCallback received);

    /// Sends keys that are new to this node to some random peers.
    void publish(const std::vector<WithdrawnKey> &added);

    /// Merges the keys of the message. Only a ready node answers requests, since a node that is not ready may have an
    /// incomplete set.
    void receive(const Endpoint &from, const WithdrawalSync &message, bool ready);

    /// Requests the set of the peer if its count or hash differs, at most once per sync interval.
    void compare(const Endpoint &peer, const StateVersions &versions);

    /// Requests the set of a random peer, at start.
    void requestInitial();

    /// Whether a peer that was asked for its set has answered since start.
    [[nodiscard]] bool hasReceivedSet() const
    {
        return m_setReceived;
    }

private:
    void requestSet(const Endpoint &peer);
    [[nodiscard]] std::vector<WithdrawnKey> missingIn(const std::vector<WithdrawnKey> &keys) const;

    DocumentsContext &m_context;
    const WithdrawnSet &m_withdrawn;
    ReceivedCallback m_onReceived;
    std::optional<Endpoint> m_requestedFrom; ///< Last peer that the set was requested from.
    TimePoint m_nextSyncAt;
    Duration m_syncInterval; ///< Doubles with each exchange; reset when keys are added or a new difference appears.
    bool m_setReceived = false;
};

} // namespace vanillatack
