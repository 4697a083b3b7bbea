#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "model/messages.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace vanillatack {

/// One version of a document with its content.
struct Document {
    std::uint64_t version = 0; ///< 0 if no document was received yet.
    std::string digest; ///< SHA-256 of the content, hexadecimal.
    std::string content;
};

struct DocumentHistoryEntry {
    std::uint64_t version = 0;
    std::string digest;
    std::string author;
    std::string note; ///< Reason for the change, given by its author.
    std::int64_t appliedAtMs = 0; ///< Wall-clock time in milliseconds since the Unix epoch.
};

/// New content of a document from an operator. The change takes effect when the pointer row is updated from baseVersion
/// to baseVersion + 1.
struct DocumentChange {
    DocumentKind kind = DocumentKind::Configuration;
    std::uint64_t baseVersion = 0;
    std::string content;
    std::string author;
    std::string note;
};

/// Listener for changes of the documents and the withdrawn keys of this node. It must not call IDocuments.
class IDocumentsListener
{
public:
    virtual ~IDocumentsListener() = default;

    virtual void onDocument(DocumentKind kind, const Document &document) = 0;
    virtual void onWithdrawals(const std::vector<WithdrawnKey> &added) = 0;
};

/// Replicates the configuration document, the key document and the withdrawn keys to this node and propagates them to
/// other nodes. The version of a document at a running node never decreases.
class IDocuments
{
public:
    using ApplyCompletion = std::function<void(Result<std::uint64_t>)>;
    using HistoryCompletion = std::function<void(Result<std::vector<DocumentHistoryEntry>>)>;
    using WithdrawCompletion = std::function<void(Result<void>)>;

    virtual ~IDocuments() = default;

    /// Runs due timers and polls the pointer rows, most often on a reader of the zone. To be called about every 50 ms.
    virtual void tick() = 0;

    virtual void receive(const Endpoint &from, const DocumentFetch &message) = 0;
    virtual void receive(const Endpoint &from, const DocumentPush &message) = 0;
    virtual void receive(const Endpoint &from, const WithdrawalSync &message) = 0;

    /// Compares the versions of a peer with those in force here: fetches newer documents and offers those that the peer
    /// lacks.
    virtual void onPeerVersions(const Endpoint &peer, const StateVersions &versions) = 0;

    /// Writes a new version. Completes with the new version number.
    /// Errors: Conflict (the base version is not the one in force), Unavailable (nothing changed), OutcomeUnknown (the
    /// platform did not confirm the write within 5 s), or the error of an invalid document.
    virtual void apply(const DocumentChange &change, ApplyCompletion done) = 0;

    /// Reads up to limit history entries, newest first.
    virtual void history(DocumentKind kind, std::size_t limit, HistoryCompletion done) = 0;

    /// Withdraws a key at this node immediately and propagates the withdrawal. Completes when the row is written.
    /// Errors: InvalidArgument (not a key id); Unavailable and OutcomeUnknown (the table failed or did not confirm in
    /// time; the withdrawal is in effect all the same, and this node or a reader writes it later).
    virtual void withdraw(const KeyId &key, WithdrawCompletion done) = 0;

    [[nodiscard]] virtual const Document &current(DocumentKind kind) const = 0;
    [[nodiscard]] virtual bool isWithdrawn(const KeyId &key) const = 0;
    [[nodiscard]] virtual std::vector<WithdrawnKey> withdrawnKeys() const = 0;
    [[nodiscard]] virtual StateVersions versions() const = 0;

    /// Whether the node has received both documents and the withdrawn keys since start.
    [[nodiscard]] virtual bool isReady() const = 0;

    /// Time since the last answer of the platform; nullopt if there was none.
    [[nodiscard]] virtual std::optional<Duration> timeSincePlatformAnswer() const = 0;
};

} // namespace vanillatack
