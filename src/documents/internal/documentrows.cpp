#include "documents/internal/documentrows.h"

#include "base/text.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <limits>

namespace vanillatack {

namespace {

using Json = nlohmann::json;

std::string kindPrefix(DocumentKind kind)
{
    return absl::StrCat("documents/", asAbsl(DocumentKindNames.name(kind)), "/");
}

Error malformed(std::string_view what)
{
    return makeError(ErrorKind::InvalidMessage,
                     absl::StrCat("A row of the table is not a ", asAbsl(what), "."),
                     "Write rows of documents with the tool only.");
}

std::string text(const Json &json)
{
    // Authors and notes are typed by operators and may hold bytes that are not UTF-8.
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

std::string pointerKey(DocumentKind kind)
{
    return kindPrefix(kind) + "pointer";
}

std::string historyPrefix(DocumentKind kind)
{
    return kindPrefix(kind) + "history/";
}

std::string historyKey(DocumentKind kind, std::uint64_t version)
{
    const std::uint64_t falling = std::numeric_limits<std::uint64_t>::max() - version;
    return absl::StrCat(historyPrefix(kind), absl::Dec(falling, absl::kZeroPad20));
}

std::string documentObjectName(DocumentKind kind, std::uint64_t version, const std::string &digest)
{
    return absl::StrCat(kindPrefix(kind), version, "-", digest);
}

std::string withdrawnRowKey(const KeyId &key)
{
    return absl::StrCat(asAbsl(WithdrawnPrefix), key.value);
}

std::string formatPointer(const PointerRecord &record)
{
    return text({{"version", record.entry.version},
                 {"digest", record.entry.digest},
                 {"author", record.entry.author},
                 {"note", record.entry.note},
                 {"appliedAtMs", record.entry.appliedAtMs},
                 {"attempt", record.attempt}});
}

Result<PointerRecord> parsePointer(std::string_view value)
{
    try {
        const Json json = Json::parse(value);
        return PointerRecord{.entry = {.version = json.at("version").get<std::uint64_t>(),
                                       .digest = json.at("digest").get<std::string>(),
                                       .author = json.at("author").get<std::string>(),
                                       .note = json.at("note").get<std::string>(),
                                       .appliedAtMs = json.at("appliedAtMs").get<std::int64_t>()},
                             .attempt = json.at("attempt").get<std::string>()};
    } catch (const Json::exception &) {
        return malformed("document pointer");
    }
}

std::string formatWithdrawal(const WithdrawnKey &withdrawn)
{
    return text({{"withdrawnAtMs", withdrawn.withdrawnAtMs}});
}

Result<WithdrawnKey> parseWithdrawal(const TableRow &row)
{
    try {
        return WithdrawnKey{.key = KeyId(row.key.substr(WithdrawnPrefix.size())),
                            .withdrawnAtMs = Json::parse(row.value).at("withdrawnAtMs").get<std::int64_t>()};
    } catch (const Json::exception &) {
        return malformed("withdrawn key");
    }
}

} // namespace vanillatack
