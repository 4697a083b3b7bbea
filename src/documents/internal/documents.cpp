#include "documents/internal/documents.h"

#include "base/invariant.h"
#include "base/log.h"

#include <utility>

namespace vanillatack {

namespace {

constexpr Log DocumentsLog("documents");
constexpr std::chrono::hours DefaultRetention{24 * 7};
constexpr std::chrono::minutes CleanupInterval{1};

} // namespace

Documents::Documents(const DocumentsContext &context, IDocumentsListener &listener)
    : m_context(context)
    , m_listener(listener)
    , m_exchange(m_context,
                 m_state,
                 [this](DocumentKind kind, Document document, std::string_view source) {
                     return adopt(kind, std::move(document), source, SpreadMode::Offer);
                 })
    , m_reader(m_context,
               m_state,
               [this](DocumentKind kind, Document document) {
                   adopt(kind, std::move(document), "platform", SpreadMode::Push);
               })
    , m_withdrawalGossip(m_context,
                         m_withdrawn,
                         [this](const std::vector<WithdrawnKey> &keys) {
                             return addWithdrawn(keys);
                         })
    , m_withdrawalTable(m_context,
                        m_withdrawn,
                        [this](const std::vector<WithdrawnKey> &keys) {
                            onScanned(keys);
                        })
    , m_nextRequestAt(m_context.clock.now())
    , m_nextCleanupAt(m_context.clock.now() + CleanupInterval)
{
}

void Documents::tick()
{
    for (const auto &completion : std::exchange(m_deferred, {})) {
        completion();
    }
    m_reader.tick(m_ready);
    m_withdrawalTable.tick(m_ready, m_reader.withdrawalMarker());
    m_exchange.tick();
    // Iterates over a copy, since a completion may start another apply and so modify the list.
    const auto applies = m_applies;
    for (const auto &apply : applies) {
        apply->tick();
    }
    std::erase_if(m_applies, [](const auto &apply) {
        return apply->isFinished();
    });
    if (!m_ready) {
        updateReady();
        requestInitial();
    }
    if (m_context.clock.now() >= m_nextCleanupAt) {
        m_nextCleanupAt = m_context.clock.now() + CleanupInterval;
        removeExpiredWithdrawals();
    }
}

void Documents::receive(const Endpoint &from, const DocumentFetch &message)
{
    m_exchange.receive(from, message);
}

void Documents::receive(const Endpoint &from, const DocumentPush &message)
{
    m_exchange.receive(from, message);
}

void Documents::receive(const Endpoint &from, const WithdrawalSync &message)
{
    m_withdrawalGossip.receive(from, message, m_ready);
}

void Documents::onPeerVersions(const Endpoint &peer, const StateVersions &versions)
{
    m_exchange.compare(peer, DocumentKind::Configuration, versions.configVersion);
    m_exchange.compare(peer, DocumentKind::Keys, versions.keysVersion);
    m_withdrawalGossip.compare(peer, versions);
}

void Documents::apply(const DocumentChange &change, ApplyCompletion done)
{
    m_applies.push_back(std::make_shared<ApplyOperation>(
        m_context,
        m_state,
        change,
        [this](DocumentKind kind, Document document) {
            adopt(kind, std::move(document), "apply", SpreadMode::Push);
        },
        std::move(done)));
}

void Documents::history(DocumentKind kind, std::size_t limit, HistoryCompletion done)
{
    m_context.table.scan(
        historyPrefix(kind),
        "",
        limit,
        m_context.whileAlive([this, done = std::move(done)](const Result<std::vector<TableRow>> &result) {
            m_context.recordAnswer(result);
            if (!result) {
                done(result.error());
                return;
            }
            std::vector<DocumentHistoryEntry> entries;
            for (const TableRow &row : result.value()) {
                const auto record = parsePointer(row);
                if (!record) {
                    done(record.error());
                    return;
                }
                entries.push_back(record.value().entry);
            }
            done(std::move(entries));
        }));
}

void Documents::withdraw(const KeyId &key, WithdrawCompletion done)
{
    if (!isKeyId(key.value)) {
        m_deferred.emplace_back([done = std::move(done)] {
            done(makeError(ErrorKind::InvalidArgument,
                           "The text is not a valid key id.",
                           "Pass the id from the list of keys, not the key itself."));
        });
        return;
    }
    const auto added = m_withdrawn.add({{.key = key, .withdrawnAtMs = m_context.wallTimeMs()}});
    if (!added.empty()) {
        DocumentsLog.info("Key withdrawn at this node; propagating the withdrawal.", {{"key", key.value}});
        m_listener.onWithdrawals(added);
        m_withdrawalGossip.publish(added);
    }
    m_withdrawalTable.write(key, std::move(done));
}

const Document &Documents::current(DocumentKind kind) const
{
    return m_state.current(kind);
}

bool Documents::isWithdrawn(const KeyId &key) const
{
    return m_withdrawn.contains(key);
}

std::vector<WithdrawnKey> Documents::withdrawnKeys() const
{
    return m_withdrawn.all();
}

StateVersions Documents::versions() const
{
    return {.configVersion = m_state.current(DocumentKind::Configuration).version,
            .keysVersion = m_state.current(DocumentKind::Keys).version,
            .withdrawalCount = m_withdrawn.count(),
            .withdrawalHash = m_withdrawn.hash()};
}

bool Documents::isReady() const
{
    return m_ready;
}

std::optional<Duration> Documents::timeSincePlatformAnswer() const
{
    if (!m_context.lastPlatformAnswer) {
        return std::nullopt;
    }
    return m_context.clock.now() - *m_context.lastPlatformAnswer;
}

DocumentState::Outcome
Documents::adopt(DocumentKind kind, Document document, std::string_view source, SpreadMode spread)
{
    const std::uint64_t before = m_state.current(kind).version;
    const DocumentState::Outcome outcome = m_state.adopt(kind, std::move(document), source);
    VT_INVARIANT(m_state.current(kind).version >= before, "The version of a document must not decrease.");
    if (outcome != DocumentState::Outcome::Adopted) {
        return outcome;
    }
    if (kind == DocumentKind::Keys) {
        updateGrantedIds();
    }
    m_listener.onDocument(kind, m_state.current(kind));
    // A document from a peer is only offered to other peers, so that its content is sent about once per node.
    if (spread == SpreadMode::Push) {
        m_exchange.push(kind);
    } else {
        m_exchange.offer(kind);
    }
    return outcome;
}

std::vector<WithdrawnKey> Documents::addWithdrawn(std::vector<WithdrawnKey> keys)
{
    std::erase_if(keys, [this, start = retentionStartMs()](const WithdrawnKey &withdrawn) {
        const bool outdated = withdrawn.withdrawnAtMs < start && mayRemove(withdrawn.key);
        return outdated || !isKeyId(withdrawn.key.value);
    });
    auto added = m_withdrawn.add(keys);
    if (!added.empty()) {
        DocumentsLog.info("Received new withdrawn keys.", {{"count", std::to_string(added.size())}});
        m_listener.onWithdrawals(added);
        m_withdrawalGossip.publish(added);
    }
    return added;
}

void Documents::onScanned(const std::vector<WithdrawnKey> &keys)
{
    addWithdrawn(keys);
    std::vector<WithdrawnKey> outdated;
    for (const WithdrawnKey &withdrawn : keys) {
        if (!m_withdrawn.contains(withdrawn.key)) {
            outdated.push_back(withdrawn);
        }
    }
    m_withdrawalTable.remove(outdated);
}

void Documents::updateGrantedIds()
{
    const auto records = parseKeyDocument(m_state.current(DocumentKind::Keys).content);
    m_grantedIdsValid = records.has_value();
    if (!records) {
        DocumentsLog.error("Cannot parse version " + std::to_string(m_state.current(DocumentKind::Keys).version)
                           + " of the key document; no withdrawal is removed until a valid one is in force. "
                           + records.error().text());
        return;
    }
    m_grantedIds.clear();
    for (const KeyRecord &record : records.value()) {
        m_grantedIds.insert(record.id);
    }
}

/// The first version received after start may be outdated, so the node waits until it has the versions of the
/// platform's pointer rows or, without the platform, for the settle time.
void Documents::updateReady()
{
    if (!m_state.hasAll()) {
        return;
    }
    const TimePoint now = m_context.clock.now();
    if (!m_allReceivedAt) {
        m_allReceivedAt = now;
    }
    const bool settled = m_reader.isUpToDate() || now - *m_allReceivedAt >= m_context.settings.settleTime;
    const bool withdrawalsReceived = m_withdrawalTable.hasScanned() || m_withdrawalGossip.hasReceivedSet();
    m_ready = settled && withdrawalsReceived;
    if (m_ready) {
        DocumentsLog.info("Received both documents and the withdrawn keys.",
                          {{"config", std::to_string(current(DocumentKind::Configuration).version)},
                           {"keys", std::to_string(current(DocumentKind::Keys).version)},
                           {"withdrawn", std::to_string(m_withdrawn.count())}});
    }
}

void Documents::requestInitial()
{
    const TimePoint now = m_context.clock.now();
    if (m_ready || now < m_nextRequestAt) {
        return;
    }
    m_nextRequestAt = now + m_context.settings.fetchTimeout;
    m_exchange.requestInitial(DocumentKind::Configuration);
    m_exchange.requestInitial(DocumentKind::Keys);
    if (!m_withdrawalGossip.hasReceivedSet()) {
        m_withdrawalGossip.requestInitial();
    }
}

void Documents::removeExpiredWithdrawals()
{
    const auto removed = m_withdrawn.removeExpired(retentionStartMs(), [this](const KeyId &key) {
        return mayRemove(key);
    });
    m_withdrawalTable.remove(removed);
}

std::int64_t Documents::retentionStartMs() const
{
    const auto &setting = m_context.settings.withdrawalRetention;
    const Duration retention = setting ? setting() : Duration(DefaultRetention);
    return m_context.wallTimeMs() - std::chrono::duration_cast<std::chrono::milliseconds>(retention).count();
}

/// A key that is still in the key document would be accepted again if its withdrawal were removed.
bool Documents::mayRemove(const KeyId &key) const
{
    return m_grantedIdsValid && !m_grantedIds.contains(key);
}

std::unique_ptr<IDocuments> makeDocuments(IClock &clock,
                                          IRandom &random,
                                          ITableService &table,
                                          IObjectStore &objects,
                                          IMessageSender &sender,
                                          IDocumentPeers &peers,
                                          IDocumentsListener &listener,
                                          NodeName self,
                                          DocumentsSettings settings)
{
    return std::make_unique<Documents>(DocumentsContext{.clock = clock,
                                                        .random = random,
                                                        .table = table,
                                                        .objects = objects,
                                                        .sender = sender,
                                                        .peers = peers,
                                                        .self = std::move(self),
                                                        .settings = std::move(settings)},
                                       listener);
}

} // namespace vanillatack
