#include "documents/internal/withdrawalgossip.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <utility>

namespace vanillatack {

namespace {

// Limits the traffic while sets differ for long, for example due to clock differences at the end of the retention.
constexpr std::chrono::seconds MaxSyncInterval{8};

} // namespace

WithdrawalGossip::WithdrawalGossip(DocumentsContext &context, const WithdrawnSet &withdrawn, ReceivedCallback received)
    : m_context(context)
    , m_withdrawn(withdrawn)
    , m_onReceived(std::move(received))
    , m_nextSyncAt(context.clock.now())
    , m_syncInterval(context.settings.syncInterval)
{
}

void WithdrawalGossip::publish(const std::vector<WithdrawnKey> &added)
{
    if (added.empty()) {
        return;
    }
    // Delays full exchanges, since hashes differ anyway while new keys propagate.
    m_syncInterval = m_context.settings.syncInterval;
    m_nextSyncAt = m_context.clock.now() + m_syncInterval;
    for (const Endpoint &peer : m_context.peers.spreadTargets(m_context.settings.offerTargets)) {
        m_context.sender.send(peer, WithdrawalSync{.sender = m_context.self, .replyWanted = false, .keys = added});
    }
}

void WithdrawalGossip::receive(const Endpoint &from, const WithdrawalSync &message, bool ready)
{
    m_onReceived(message.keys);
    if (message.replyWanted && ready) {
        m_context.sender.send(
            from, WithdrawalSync{.sender = m_context.self, .replyWanted = false, .keys = missingIn(message.keys)});
    } else if (!message.replyWanted && m_requestedFrom == from) {
        m_setReceived = true;
    }
}

void WithdrawalGossip::compare(const Endpoint &peer, const StateVersions &versions)
{
    const TimePoint now = m_context.clock.now();
    const bool equal = versions.withdrawalCount == m_withdrawn.count() && versions.withdrawalHash == m_withdrawn.hash();
    if (equal || now < m_nextSyncAt) {
        return;
    }
    if (now - m_nextSyncAt > MaxSyncInterval) {
        m_syncInterval = m_context.settings.syncInterval; // No difference for a while, so this is a new one.
    }
    m_nextSyncAt = now + m_syncInterval;
    m_syncInterval = std::min<Duration>(2 * m_syncInterval, MaxSyncInterval);
    requestSet(peer);
}

void WithdrawalGossip::requestInitial()
{
    for (const Endpoint &peer : m_context.peers.spreadTargets(1)) {
        requestSet(peer);
    }
}

void WithdrawalGossip::requestSet(const Endpoint &peer)
{
    m_requestedFrom = peer;
    m_context.sender.send(peer,
                          WithdrawalSync{.sender = m_context.self, .replyWanted = true, .keys = m_withdrawn.all()});
}

std::vector<WithdrawnKey> WithdrawalGossip::missingIn(const std::vector<WithdrawnKey> &keys) const
{
    absl::flat_hash_set<KeyId> received;
    for (const WithdrawnKey &withdrawn : keys) {
        received.insert(withdrawn.key);
    }
    std::vector<WithdrawnKey> missing = m_withdrawn.all();
    std::erase_if(missing, [&received](const WithdrawnKey &withdrawn) {
        return received.contains(withdrawn.key);
    });
    return missing;
}

} // namespace vanillatack
