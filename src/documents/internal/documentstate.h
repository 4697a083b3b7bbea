#pragma once

#include "documents/idocuments.h"

#include <array>
#include <string_view>

namespace vanillatack {

/// The documents in force at this node. Their versions never decrease.
class DocumentState
{
public:
    enum class Outcome {
        Adopted,
        NotNewer,
        BadDigest, ///< The content does not match the digest.
        Conflicting, ///< The version in force with different content; indicates a fault.
    };

    /// Adopts the document if it is newer and its content matches its digest. The source is only logged.
    Outcome adopt(DocumentKind kind, Document document, std::string_view source);

    [[nodiscard]] const Document &current(DocumentKind kind) const;
    [[nodiscard]] bool hasAll() const;

    /// Logs an error if the version is the one in force but the digest differs, unless this conflict was
    /// the last one logged.
    void
    logDigestConflict(DocumentKind kind, std::uint64_t version, const std::string &digest, std::string_view source);

private:
    struct Entry {
        Document current;
        std::string reportedDigest; ///< Digest of the last logged conflict, to avoid logging it repeatedly.
    };

    Entry &entry(DocumentKind kind);

    std::array<Entry, DocumentKindNames.entries().size()> m_entries;
};

} // namespace vanillatack
