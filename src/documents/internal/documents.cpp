#include "documents/internal/documents.h"

#include "base/invariant.h"
#include "base/log.h"

#include <utility>

namespace vanillatack {

namespace {

constexpr Log Logger("documents");
constexpr std::chrono::hours DefaultRetention{24 * 7};
constexpr std::chrono::minutes ForgetInterval{1};

} // namespace

Documents::Documents(const DocumentsContext &context, IDocumentsListener &listener)
    : m_context(context)
    , m_listener(listener)
    , m_exchange(m_context,
                 m_state,
                 [this](DocumentKind kind, DocumentVersion document, std::string_view source) {
                     return adopt(kind, std::move(document), source, Spread::Offer);
                 })
    , m_reader(m_context,
               m_state,
               [this](DocumentKind kind, DocumentVersion document) {
                   adopt(kind, std::move(document), "platform", Spread::Content);
               })
    , m_withdrawalSpread(m_context,
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
    , m_nextForgetAt(m_context.clock.now() + ForgetInterval)
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
    // A completion may start another apply, which changes the list.
    const auto applies = m_applies;
    for (const auto &apply : applies) {
        apply->tick();
    }
    std::erase_if(m_applies, [](const auto &apply) {
        return apply->isOver();
    });
    if (!m_ready) {
        updateReady();
        requestFirst();
    }
    if (m_context.clock.now() >= m_nextForgetAt) {
        m_nextForgetAt = m_context.clock.now() + ForgetInterval;
        forgetWithdrawn();
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
    m_withdrawalSpread.receive(from, message, m_ready);
}

void Documents::onPeerVersions(const Endpoint &peer, const StateVersions &versions)
{
    m_exchange.compare(peer, DocumentKind::Configuration, versions.configVersion);
    m_exchange.compare(peer, DocumentKind::Keys, versions.keysVersion);
    m_withdrawalSpread.compare(peer, versions);
}

void Documents::apply(const DocumentChange &change, ApplyCompletion done)
{
    m_applies.push_back(std::make_shared<ApplyOperation>(
        m_context,
        m_state,
        change,
        [this](DocumentKind kind, DocumentVersion document) {
            adopt(kind, std::move(document), "apply", Spread::Content);
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
            m_context.noteAnswer(result);
            if (!result) {
                done(result.error());
                return;
            }
            std::vector<DocumentHistoryEntry> entries;
            for (const TableRow &row : result.value()) {
                const auto record = parsePointer(row.value);
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
                           "The text is not the id of a key.",
                           "Use the id from the list of keys, not the key itself."));
        });
        return;
    }
    const auto added = m_withdrawn.add({{.key = key, .withdrawnAtMs = m_context.wallMs()}});
    if (!added.empty()) {
        Logger.info("A key was withdrawn at this node.", {{"key", key.value}});
        m_listener.onWithdrawals(added);
        m_withdrawalSpread.tell(added);
    }
    m_withdrawalTable.write(key, std::move(done));
}

const DocumentVersion &Documents::current(DocumentKind kind) const
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
Documents::adopt(DocumentKind kind, DocumentVersion document, std::string_view source, Spread spread)
{
    const std::uint64_t before = m_state.current(kind).version;
    const DocumentState::Outcome outcome = m_state.adopt(kind, std::move(document), source);
    VT_INVARIANT(m_state.current(kind).version >= before, "A document must not go back to a lower version.");
    if (outcome != DocumentState::Outcome::Adopted) {
        return outcome;
    }
    if (kind == DocumentKind::Keys) {
        readGranted();
    }
    m_listener.onDocument(kind, m_state.current(kind));
    // Nodes that get a document from a peer only offer it on, so that its content is sent about once per node.
    if (spread == Spread::Content) {
        m_exchange.push(kind);
    } else {
        m_exchange.offer(kind);
    }
    return outcome;
}

std::vector<WithdrawnKey> Documents::addWithdrawn(std::vector<WithdrawnKey> keys)
{
    std::erase_if(keys, [this, start = retentionStartMs()](const WithdrawnKey &withdrawn) {
        const bool outdated = withdrawn.withdrawnAtMs < start && mayForget(withdrawn.key);
        return outdated || !isKeyId(withdrawn.key.value);
    });
    auto added = m_withdrawn.add(keys);
    if (!added.empty()) {
        Logger.info("Withdrawn keys were received.", {{"count", std::to_string(added.size())}});
        m_listener.onWithdrawals(added);
        m_withdrawalSpread.tell(added);
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

void Documents::readGranted()
{
    const auto records = parseKeyDocument(m_state.current(DocumentKind::Keys).content);
    m_grantedKnown = records.has_value();
    if (!records) {
        Logger.error(records.error().text());
        return;
    }
    m_granted.clear();
    for (const KeyRecord &record : records.value()) {
        m_granted.insert(record.id);
    }
}

/// A node that starts could get an old version first; it waits a moment for the newest that can be reached.
void Documents::updateReady()
{
    if (!m_state.hasAll()) {
        return;
    }
    const TimePoint now = m_context.clock.now();
    if (!m_completeSince) {
        m_completeSince = now;
    }
    const bool settled = m_reader.isConfirmed() || now - *m_completeSince >= m_context.settings.settleTime;
    const bool knowsWithdrawn = m_withdrawalTable.hasScanned() || m_withdrawalSpread.hasHeard();
    m_ready = settled && knowsWithdrawn;
    if (m_ready) {
        Logger.info("Both documents and the withdrawn keys were received.",
                    {{"config", std::to_string(current(DocumentKind::Configuration).version)},
                     {"keys", std::to_string(current(DocumentKind::Keys).version)},
                     {"withdrawn", std::to_string(m_withdrawn.count())}});
    }
}

void Documents::requestFirst()
{
    const TimePoint now = m_context.clock.now();
    if (m_ready || now < m_nextRequestAt) {
        return;
    }
    m_nextRequestAt = now + m_context.settings.fetchTimeout;
    m_exchange.requestFirst(DocumentKind::Configuration);
    m_exchange.requestFirst(DocumentKind::Keys);
    if (!m_withdrawalSpread.hasHeard()) {
        m_withdrawalSpread.requestFirst();
    }
}

void Documents::forgetWithdrawn()
{
    const auto forgotten = m_withdrawn.forget(retentionStartMs(), [this](const KeyId &key) {
        return mayForget(key);
    });
    m_withdrawalTable.remove(forgotten);
}

std::int64_t Documents::retentionStartMs() const
{
    const auto &setting = m_context.settings.withdrawalRetention;
    const Duration retention = setting ? setting() : Duration(DefaultRetention);
    return m_context.wallMs() - std::chrono::duration_cast<std::chrono::milliseconds>(retention).count();
}

/// A withdrawn key that is still in the key document would work again if it were forgotten.
bool Documents::mayForget(const KeyId &key) const
{
    return m_grantedKnown && !m_granted.contains(key);
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
