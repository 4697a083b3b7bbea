#pragma once

#include "documents/internal/applyoperation.h"
#include "documents/internal/documentexchange.h"
#include "documents/internal/platformreader.h"
#include "documents/internal/withdrawalspread.h"
#include "documents/internal/withdrawaltable.h"

#include <absl/container/flat_hash_set.h>

namespace vanillatack {

/// Joins the parts: what one of them learns is adopted here, told to the listener and handed to the others.
class Documents final : public IDocuments
{
public:
    Documents(const DocumentsContext &context, IDocumentsListener &listener);

    void tick() override;
    void receive(const Endpoint &from, const DocumentFetch &message) override;
    void receive(const Endpoint &from, const DocumentPush &message) override;
    void receive(const Endpoint &from, const WithdrawalSync &message) override;
    void onPeerVersions(const Endpoint &peer, const StateVersions &versions) override;
    void apply(const DocumentChange &change, ApplyCompletion done) override;
    void history(DocumentKind kind, std::size_t limit, HistoryCompletion done) override;
    void withdraw(const KeyId &key, WithdrawCompletion done) override;
    [[nodiscard]] const DocumentVersion &current(DocumentKind kind) const override;
    [[nodiscard]] bool isWithdrawn(const KeyId &key) const override;
    [[nodiscard]] std::vector<WithdrawnKey> withdrawnKeys() const override;
    [[nodiscard]] StateVersions versions() const override;
    [[nodiscard]] bool isReady() const override;
    [[nodiscard]] std::optional<Duration> timeSincePlatformAnswer() const override;

private:
    /// How a new document goes on to the peers.
    enum class Spread {
        Content,
        Offer,
    };

    DocumentState::Outcome adopt(DocumentKind kind, DocumentVersion document, std::string_view source, Spread spread);
    std::vector<WithdrawnKey> addWithdrawn(std::vector<WithdrawnKey> keys);
    void onScanned(const std::vector<WithdrawnKey> &keys);
    void readGranted();
    void updateReady();
    void requestFirst();
    void forgetWithdrawn();
    [[nodiscard]] std::int64_t retentionStartMs() const;
    [[nodiscard]] bool mayForget(const KeyId &key) const;

    DocumentsContext m_context;
    IDocumentsListener &m_listener;
    DocumentState m_state;
    WithdrawnSet m_withdrawn;
    absl::flat_hash_set<KeyId> m_granted; ///< Ids in the key document.
    DocumentExchange m_exchange;
    PlatformReader m_reader;
    WithdrawalSpread m_withdrawalSpread;
    WithdrawalTable m_withdrawalTable;
    std::vector<std::shared_ptr<ApplyOperation>> m_applies;
    std::vector<std::function<void()>> m_deferred; ///< Completions for the next tick.
    std::optional<TimePoint> m_completeSince; ///< Since when both documents are there.
    TimePoint m_nextRequestAt;
    TimePoint m_nextForgetAt;
    bool m_grantedKnown = false; ///< Whether m_granted is that of the key document in force.
    bool m_ready = false;
};

} // namespace vanillatack
