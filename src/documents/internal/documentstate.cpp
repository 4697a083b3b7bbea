#include "documents/internal/documentstate.h"

#include "base/digest.h"
#include "base/invariant.h"
#include "base/log.h"

#include <algorithm>
#include <utility>

namespace vanillatack {

namespace {

constexpr Log Logger("documents");

} // namespace

DocumentState::Outcome DocumentState::adopt(DocumentKind kind, DocumentVersion document, std::string_view source)
{
    DocumentVersion &current = entry(kind).current;
    if (document.version == 0 || document.version < current.version
        || (document.version == current.version && document.digest == current.digest)) {
        return Outcome::NotNewer;
    }
    if (sha256Hex(document.content) != document.digest) {
        Logger.error("A document was not applied since its content does not match its digest.",
                     {{"document", std::string(DocumentKindNames.name(kind))},
                      {"version", std::to_string(document.version)},
                      {"source", std::string(source)}});
        return Outcome::BadDigest;
    }
    if (document.version == current.version) {
        checkSameVersion(kind, document.version, document.digest, source);
        return Outcome::Conflicting;
    }
    VT_INVARIANT(document.version > current.version, "A document must not go back to a lower version.");
    current = std::move(document);
    Logger.info("A document is in force.",
                {{"document", std::string(DocumentKindNames.name(kind))},
                 {"version", std::to_string(current.version)},
                 {"source", std::string(source)}});
    return Outcome::Adopted;
}

const DocumentVersion &DocumentState::current(DocumentKind kind) const
{
    return m_entries[static_cast<std::size_t>(kind)].current;
}

bool DocumentState::hasAll() const
{
    return std::all_of(m_entries.begin(), m_entries.end(), [](const Entry &each) {
        return each.current.version > 0;
    });
}

void DocumentState::checkSameVersion(DocumentKind kind,
                                     std::uint64_t version,
                                     const std::string &digest,
                                     std::string_view source)
{
    Entry &known = entry(kind);
    if (version == 0 || version != known.current.version || digest == known.current.digest
        || digest == known.reportedDigest) {
        return;
    }
    known.reportedDigest = digest;
    Logger.error("Two contents exist for one version of a document; the one in force stays. Apply a new version.",
                 {{"document", std::string(DocumentKindNames.name(kind))},
                  {"version", std::to_string(version)},
                  {"in_force", known.current.digest},
                  {"other", digest},
                  {"source", std::string(source)}});
}

DocumentState::Entry &DocumentState::entry(DocumentKind kind)
{
    return m_entries[static_cast<std::size_t>(kind)];
}

} // namespace vanillatack
