#pragma once

#include "documents/idocuments.h"

#include <array>
#include <string_view>

namespace vanillatack {

/// The documents in force at this node. Their versions never go down.
class DocumentState
{
public:
    enum class Outcome {
        Adopted,
        NotNewer,
        BadDigest, ///< The content does not belong to the digest.
        Conflicting, ///< Other content for the version in force; must not happen.
    };

    /// Adopts the document when it is newer and its content matches its digest. Source is for the log.
    Outcome adopt(DocumentKind kind, DocumentVersion document, std::string_view source);

    [[nodiscard]] const DocumentVersion &current(DocumentKind kind) const;
    [[nodiscard]] bool hasAll() const;

    /// Logs an error when the digest differs from that of the same version in force.
    void checkSameVersion(DocumentKind kind, std::uint64_t version, const std::string &digest, std::string_view source);

private:
    struct Entry {
        DocumentVersion current;
        std::string reportedDigest; ///< Of the last conflict, so that it is logged once.
    };

    Entry &entry(DocumentKind kind);

    std::array<Entry, DocumentKindNames.entries().size()> m_entries;
};

} // namespace vanillatack
