#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "model/messages.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace vanillatack {

struct DocumentVersion {
    std::uint64_t version = 0; ///< 0 before the first document.
    std::string digest;
    std::string content;
};

/// Entry of the history of a document.
struct DocumentHistoryEntry {
    std::uint64_t version = 0;
    std::string digest;
    std::string author;
    std::string note; ///< Why it was changed.
    std::int64_t appliedAtMs = 0; ///< Wall time.
};

/// A change by an operator. It is accepted when the pointer row moved from baseVersion to baseVersion + 1.
struct DocumentChange {
    DocumentKind kind = DocumentKind::Configuration;
    std::uint64_t baseVersion = 0;
    std::string content;
    std::string author;
    std::string note;
};

/// Told when a document or the set of withdrawn keys changed at this node. Must not call back.
class IDocumentsListener
{
public:
    virtual ~IDocumentsListener() = default;

    virtual void onDocument(DocumentKind kind, const DocumentVersion &document) = 0;
    virtual void onWithdrawals(const std::vector<WithdrawnKey> &added) = 0;
};

/// Keeps the configuration and key documents and the withdrawn keys of this node, and spreads them. A node never
/// goes back to a lower version.
class IDocuments
{
public:
    using ApplyCompletion = std::function<void(Result<std::uint64_t>)>;
    using HistoryCompletion = std::function<void(Result<std::vector<DocumentHistoryEntry>>)>;
    using WithdrawCompletion = std::function<void(Result<void>)>;

    virtual ~IDocuments() = default;

    /// To be called about every 50 ms. Polls the pointer rows when this node is one of the zone's readers.
    virtual void tick() = 0;

    virtual void receive(const Endpoint &from, const DocumentFetch &message) = 0;
    virtual void receive(const Endpoint &from, const DocumentPush &message) = 0;
    virtual void receive(const Endpoint &from, const WithdrawalSync &message) = 0;

    /// A peer has other versions; fetches what is newer and offers what is older there.
    virtual void onPeerVersions(const Endpoint &peer, const StateVersions &versions) = 0;

    /// Writes a new version. Completes with the new version, or Conflict (another operator was first), Unavailable
    /// (nothing changed) or OutcomeUnknown (the platform did not answer again within 5 s).
    virtual void apply(const DocumentChange &change, ApplyCompletion done) = 0;

    virtual void history(DocumentKind kind, std::size_t limit, HistoryCompletion done) = 0;

    /// Withdraws a key at this node at once and spreads it. Completes when the table has it, or with Unavailable when
    /// the table is away: the withdrawal holds all the same and is written later by any node.
    virtual void withdraw(const KeyId &key, WithdrawCompletion done) = 0;

    [[nodiscard]] virtual const DocumentVersion &current(DocumentKind kind) const = 0;
    [[nodiscard]] virtual bool isWithdrawn(const KeyId &key) const = 0;
    [[nodiscard]] virtual std::vector<WithdrawnKey> withdrawnKeys() const = 0;
    [[nodiscard]] virtual StateVersions versions() const = 0;

    /// Whether both documents have been received since start.
    [[nodiscard]] virtual bool isReady() const = 0;

    /// Time since the platform last answered; nullopt when never.
    [[nodiscard]] virtual std::optional<Duration> timeSincePlatformAnswer() const = 0;
};

} // namespace vanillatack
