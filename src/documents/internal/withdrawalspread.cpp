#include "documents/internal/withdrawalspread.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <utility>

namespace vanillatack {

namespace {

// A set that differs for long, e.g. since clocks differ at the end of the retention, must not use up the bandwidth.
constexpr std::chrono::seconds LongestSyncInterval{8};

} // namespace

WithdrawalSpread::WithdrawalSpread(DocumentsContext &context, const WithdrawnSet &known, Received received)
    : m_context(context)
    , m_known(known)
    , m_received(std::move(received))
    , m_nextSyncAt(context.clock.now())
    , m_syncInterval(context.settings.syncInterval)
{
}

void WithdrawalSpread::tell(const std::vector<WithdrawnKey> &added)
{
    if (added.empty()) {
        return;
    }
    // While new keys spread by themselves, differing hashes need no exchange of whole sets.
    m_syncInterval = m_context.settings.syncInterval;
    m_nextSyncAt = m_context.clock.now() + m_syncInterval;
    for (const Endpoint &peer : m_context.peers.spreadTargets(m_context.settings.offerTargets)) {
        m_context.sender.send(peer, WithdrawalSync{.sender = m_context.self, .replyWanted = false, .keys = added});
    }
}

void WithdrawalSpread::receive(const Endpoint &from, const WithdrawalSync &message, bool ready)
{
    m_received(message.keys);
    if (message.replyWanted && ready) {
        m_context.sender.send(
            from, WithdrawalSync{.sender = m_context.self, .replyWanted = false, .keys = missingIn(message.keys)});
    } else if (!message.replyWanted && m_asked == from) {
        m_heard = true;
    }
}

void WithdrawalSpread::compare(const Endpoint &peer, const StateVersions &versions)
{
    const TimePoint now = m_context.clock.now();
    const bool equal = versions.withdrawalCount == m_known.count() && versions.withdrawalHash == m_known.hash();
    if (equal || now < m_nextSyncAt) {
        return;
    }
    if (now - m_nextSyncAt > LongestSyncInterval) {
        m_syncInterval = m_context.settings.syncInterval; // A new difference.
    }
    m_nextSyncAt = now + m_syncInterval;
    m_syncInterval = std::min<Duration>(2 * m_syncInterval, LongestSyncInterval);
    requestSet(peer);
}

void WithdrawalSpread::requestFirst()
{
    for (const Endpoint &peer : m_context.peers.spreadTargets(1)) {
        requestSet(peer);
    }
}

void WithdrawalSpread::requestSet(const Endpoint &peer)
{
    m_asked = peer;
    m_context.sender.send(peer, WithdrawalSync{.sender = m_context.self, .replyWanted = true, .keys = m_known.all()});
}

std::vector<WithdrawnKey> WithdrawalSpread::missingIn(const std::vector<WithdrawnKey> &keys) const
{
    absl::flat_hash_set<KeyId> listed;
    for (const WithdrawnKey &withdrawn : keys) {
        listed.insert(withdrawn.key);
    }
    std::vector<WithdrawnKey> missing = m_known.all();
    std::erase_if(missing, [&listed](const WithdrawnKey &withdrawn) {
        return listed.contains(withdrawn.key);
    });
    return missing;
}

} // namespace vanillatack
