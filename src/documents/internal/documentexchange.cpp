#include "documents/internal/documentexchange.h"

#include <utility>

namespace vanillatack {

namespace {

// After the last retry, the fetch restarts when a peer next reports a newer version.
constexpr int MaxRetries = 5;

} // namespace

DocumentExchange::DocumentExchange(DocumentsContext &context, const DocumentState &state, ReceivedCallback received)
    : m_context(context)
    , m_state(state)
    , m_onReceived(std::move(received))
{
}

void DocumentExchange::tick()
{
    const TimePoint now = m_context.clock.now();
    for (const auto &[kind, name] : DocumentKindNames.entries()) {
        FetchState &fetch = fetchState(kind);
        if (fetch.targetVersion > 0 && now - fetch.sentAt >= m_context.settings.fetchTimeout) {
            retryFetch(kind, fetch);
        }
    }
}

void DocumentExchange::receive(const Endpoint &from, const DocumentFetch &message)
{
    const std::uint64_t version = m_state.current(message.kind).version;
    if (version > message.aboveVersion) {
        sendPush(from, message.kind);
    } else if (version < message.aboveVersion) {
        requestVersion(from, message.kind, message.aboveVersion);
    }
}

void DocumentExchange::receive(const Endpoint &from, const DocumentPush &message)
{
    const DocumentState::Outcome outcome = m_onReceived(
        message.kind, {.version = message.version, .digest = message.digest, .content = message.content}, from.text());
    FetchState &fetch = fetchState(message.kind);
    if (m_state.current(message.kind).version >= fetch.targetVersion) {
        fetch = {};
    } else if (outcome == DocumentState::Outcome::Adopted) {
        sendFetch(fetch.source, message.kind);
    }
}

void DocumentExchange::compare(const Endpoint &peer, DocumentKind kind, std::uint64_t peerVersion)
{
    const std::uint64_t version = m_state.current(kind).version;
    if (version < peerVersion) {
        requestVersion(peer, kind, peerVersion);
    } else if (version > peerVersion) {
        sendFetch(peer, kind);
    }
}

void DocumentExchange::requestInitial(DocumentKind kind)
{
    if (m_state.current(kind).version > 0 || fetchState(kind).targetVersion > 0) {
        return;
    }
    for (const Endpoint &peer : m_context.peers.spreadTargets(1)) {
        sendFetch(peer, kind);
    }
}

void DocumentExchange::push(DocumentKind kind)
{
    for (const Endpoint &peer : m_context.peers.spreadTargets(m_context.settings.pushTargets)) {
        sendPush(peer, kind);
    }
}

void DocumentExchange::offer(DocumentKind kind)
{
    for (const Endpoint &peer : m_context.peers.spreadTargets(m_context.settings.offerTargets)) {
        sendFetch(peer, kind);
    }
}

/// Keeps at most one fetch per document outstanding, so that a burst of offers does not transfer the content several
/// times.
void DocumentExchange::requestVersion(const Endpoint &peer, DocumentKind kind, std::uint64_t version)
{
    FetchState &fetch = fetchState(kind);
    fetch.source = peer;
    if (version <= fetch.targetVersion) {
        return;
    }
    fetch.targetVersion = version;
    fetch.sentAt = m_context.clock.now();
    fetch.retries = 0;
    sendFetch(peer, kind);
}

void DocumentExchange::sendFetch(const Endpoint &peer, DocumentKind kind)
{
    m_context.sender.send(
        peer, DocumentFetch{.sender = m_context.self, .kind = kind, .aboveVersion = m_state.current(kind).version});
}

void DocumentExchange::sendPush(const Endpoint &peer, DocumentKind kind)
{
    const Document &document = m_state.current(kind);
    m_context.sender.send(peer,
                          DocumentPush{.sender = m_context.self,
                                       .kind = kind,
                                       .version = document.version,
                                       .digest = document.digest,
                                       .content = document.content});
}

void DocumentExchange::retryFetch(DocumentKind kind, FetchState &fetch)
{
    if (++fetch.retries > MaxRetries) {
        fetch = {};
        return;
    }
    fetch.sentAt = m_context.clock.now();
    sendFetch(fetch.source, kind);
    for (const Endpoint &peer : m_context.peers.spreadTargets(1)) {
        sendFetch(peer, kind);
    }
}

DocumentExchange::FetchState &DocumentExchange::fetchState(DocumentKind kind)
{
    return m_fetches[static_cast<std::size_t>(kind)];
}

} // namespace vanillatack
