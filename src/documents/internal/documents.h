#pragma once

#include "documents/internal/applyoperation.h"
#include "documents/internal/documentexchange.h"
#include "documents/internal/platformreader.h"
#include "documents/internal/withdrawalgossip.h"
#include "documents/internal/withdrawaltable.h"

#include <absl/container/flat_hash_set.h>

namespace vanillatack {

/// Implements IDocuments. Adopts updates from the platform and from peers, notifies the listener and propagates them.
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
    [[nodiscard]] const Document &current(DocumentKind kind) const override;
    [[nodiscard]] bool isWithdrawn(const KeyId &key) const override;
    [[nodiscard]] std::vector<WithdrawnKey> withdrawnKeys() const override;
    [[nodiscard]] StateVersions versions() const override;
    [[nodiscard]] bool isReady() const override;
    [[nodiscard]] std::optional<Duration> timeSincePlatformAnswer() const override;

private:
    /// How an adopted document is propagated to peers.
    enum class SpreadMode {
        Push, ///< Sent with its content.
        Offer, ///< Only its version is sent; peers fetch the content.
    };

    DocumentState::Outcome adopt(DocumentKind kind, Document document, std::string_view source, SpreadMode spread);
    std::vector<WithdrawnKey> addWithdrawn(std::vector<WithdrawnKey> keys);
    void onScanned(const std::vector<WithdrawnKey> &keys);
    void updateGrantedIds();
    void updateReady();
    void requestInitial();
    void removeExpiredWithdrawals();
    [[nodiscard]] std::int64_t retentionStartMs() const;
    [[nodiscard]] bool mayRemove(const KeyId &key) const;

    DocumentsContext m_context;
    IDocumentsListener &m_listener;
    DocumentState m_state;
    WithdrawnSet m_withdrawn;
    absl::flat_hash_set<KeyId> m_grantedIds; ///< Ids of the keys in the key document.
    DocumentExchange m_exchange;
    PlatformReader m_reader;
    WithdrawalGossip m_withdrawalGossip;
    WithdrawalTable m_withdrawalTable;
    std::vector<std::shared_ptr<ApplyOperation>> m_applies;
    std::vector<std::function<void()>> m_deferred; ///< Completions to be called in the next tick.
    std::optional<TimePoint> m_allReceivedAt; ///< When both documents were first present.
    TimePoint m_nextRequestAt;
    TimePoint m_nextCleanupAt;
    bool m_grantedIdsValid = false; ///< Whether m_grantedIds matches the key document in force.
    bool m_ready = false;
};

} // namespace vanillatack
