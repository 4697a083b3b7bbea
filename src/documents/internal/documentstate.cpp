#include "documents/internal/documentstate.h"

#include "base/digest.h"
#include "base/invariant.h"
#include "base/log.h"

#include <algorithm>
#include <utility>

namespace vanillatack {

namespace {

constexpr Log DocumentsLog("documents");

} // namespace

DocumentState::Outcome DocumentState::adopt(DocumentKind kind, Document document, std::string_view source)
{
    Document &current = entry(kind).current;
    if (document.version == 0 || document.version < current.version
        || (document.version == current.version && document.digest == current.digest)) {
        return Outcome::NotNewer;
    }
    if (sha256Hex(document.content) != document.digest) {
        DocumentsLog.error(
            "Document rejected: its content does not match its digest. If this repeats, apply a new version.",
            {{"document", std::string(DocumentKindNames.name(kind))},
             {"version", std::to_string(document.version)},
             {"source", std::string(source)}});
        return Outcome::BadDigest;
    }
    if (document.version == current.version) {
        logDigestConflict(kind, document.version, document.digest, source);
        return Outcome::Conflicting;
    }
    VT_INVARIANT(document.version > current.version, "The version of a document must not decrease.");
    current = std::move(document);
    DocumentsLog.info("New document version in force.",
                      {{"document", std::string(DocumentKindNames.name(kind))},
                       {"version", std::to_string(current.version)},
                       {"source", std::string(source)}});
    return Outcome::Adopted;
}

const Document &DocumentState::current(DocumentKind kind) const
{
    return m_entries[static_cast<std::size_t>(kind)].current;
}

bool DocumentState::hasAll() const
{
    return std::all_of(m_entries.begin(), m_entries.end(), [](const Entry &each) {
        return each.current.version > 0;
    });
}

void DocumentState::logDigestConflict(DocumentKind kind,
                                      std::uint64_t version,
                                      const std::string &digest,
                                      std::string_view source)
{
    Entry &existing = entry(kind);
    if (version == 0 || version != existing.current.version || digest == existing.current.digest
        || digest == existing.reportedDigest) {
        return;
    }
    existing.reportedDigest = digest;
    DocumentsLog.error(
        "Conflicting contents for the same document version; keeping the one in force. Apply a new version.",
        {{"document", std::string(DocumentKindNames.name(kind))},
         {"version", std::to_string(version)},
         {"in_force", existing.current.digest},
         {"other", digest},
         {"source", std::string(source)}});
}

DocumentState::Entry &DocumentState::entry(DocumentKind kind)
{
    return m_entries[static_cast<std::size_t>(kind)];
}

} // namespace vanillatack
