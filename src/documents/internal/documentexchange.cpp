#include "documents/internal/documentexchange.h"

#include <utility>

namespace vanillatack {

namespace {

// After this many, the next probe that shows a newer version starts the fetch again.
constexpr int MaxRepeats = 5;

} // namespace

DocumentExchange::DocumentExchange(DocumentsContext &context, const DocumentState &state, Received received)
    : m_context(context)
    , m_state(state)
    , m_received(std::move(received))
{
}

void DocumentExchange::tick()
{
    const TimePoint now = m_context.clock.now();
    for (const auto &[kind, name] : DocumentKindNames.entries()) {
        Fetch &fetch = fetchOf(kind);
        if (fetch.wanted > 0 && now - fetch.sentAt >= m_context.settings.fetchTimeout) {
            repeat(kind, fetch);
        }
    }
}

void DocumentExchange::receive(const Endpoint &from, const DocumentFetch &message)
{
    const std::uint64_t version = m_state.current(message.kind).version;
    if (version > message.aboveVersion) {
        sendPush(from, message.kind);
    } else if (version < message.aboveVersion) {
        want(from, message.kind, message.aboveVersion);
    }
}

void DocumentExchange::receive(const Endpoint &from, const DocumentPush &message)
{
    const DocumentState::Outcome outcome = m_received(
        message.kind, {.version = message.version, .digest = message.digest, .content = message.content}, from.text());
    Fetch &fetch = fetchOf(message.kind);
    if (m_state.current(message.kind).version >= fetch.wanted) {
        fetch = {};
    } else if (outcome == DocumentState::Outcome::Adopted) {
        sendFetch(fetch.source, message.kind);
    }
}

void DocumentExchange::compare(const Endpoint &peer, DocumentKind kind, std::uint64_t peerVersion)
{
    const std::uint64_t version = m_state.current(kind).version;
    if (version < peerVersion) {
        want(peer, kind, peerVersion);
    } else if (version > peerVersion) {
        sendFetch(peer, kind);
    }
}

void DocumentExchange::requestFirst(DocumentKind kind)
{
    if (m_state.current(kind).version > 0 || fetchOf(kind).wanted > 0) {
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

/// One fetch at a time per document, so that a burst of offers does not transfer the content several times.
void DocumentExchange::want(const Endpoint &peer, DocumentKind kind, std::uint64_t version)
{
    Fetch &fetch = fetchOf(kind);
    fetch.source = peer;
    if (version <= fetch.wanted) {
        return;
    }
    fetch.wanted = version;
    fetch.sentAt = m_context.clock.now();
    fetch.repeats = 0;
    sendFetch(peer, kind);
}

void DocumentExchange::sendFetch(const Endpoint &peer, DocumentKind kind)
{
    m_context.sender.send(
        peer, DocumentFetch{.sender = m_context.self, .kind = kind, .aboveVersion = m_state.current(kind).version});
}

void DocumentExchange::sendPush(const Endpoint &peer, DocumentKind kind)
{
    const DocumentVersion &document = m_state.current(kind);
    m_context.sender.send(peer,
                          DocumentPush{.sender = m_context.self,
                                       .kind = kind,
                                       .version = document.version,
                                       .digest = document.digest,
                                       .content = document.content});
}

void DocumentExchange::repeat(DocumentKind kind, Fetch &fetch)
{
    if (++fetch.repeats > MaxRepeats) {
        fetch = {};
        return;
    }
    fetch.sentAt = m_context.clock.now();
    sendFetch(fetch.source, kind);
    for (const Endpoint &peer : m_context.peers.spreadTargets(1)) {
        sendFetch(peer, kind);
    }
}

DocumentExchange::Fetch &DocumentExchange::fetchOf(DocumentKind kind)
{
    return m_fetches[static_cast<std::size_t>(kind)];
}

} // namespace vanillatack
