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

Error malformedRow(std::string_view key, std::string_view expected)
{
    return makeError(ErrorKind::InvalidMessage,
                     absl::StrCat("The table row ", asAbsl(key), " does not contain a valid ", asAbsl(expected), "."),
                     "Change document rows only with the command line tool.");
}

std::string toText(const Json &json)
{
    // Authors and notes are entered by operators and may contain invalid UTF-8.
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
    const std::uint64_t invertedVersion = std::numeric_limits<std::uint64_t>::max() - version;
    return absl::StrCat(historyPrefix(kind), absl::Dec(invertedVersion, absl::kZeroPad20));
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
    return toText({{"version", record.entry.version},
                   {"digest", record.entry.digest},
                   {"author", record.entry.author},
                   {"note", record.entry.note},
                   {"appliedAtMs", record.entry.appliedAtMs},
                   {"attempt", record.attempt}});
}

Result<PointerRecord> parsePointer(const TableRow &row)
{
    try {
        const Json json = Json::parse(row.value);
        return PointerRecord{.entry = {.version = json.at("version").get<std::uint64_t>(),
                                       .digest = json.at("digest").get<std::string>(),
                                       .author = json.at("author").get<std::string>(),
                                       .note = json.at("note").get<std::string>(),
                                       .appliedAtMs = json.at("appliedAtMs").get<std::int64_t>()},
                             .attempt = json.at("attempt").get<std::string>()};
    } catch (const Json::exception &) {
        return malformedRow(row.key, "document pointer");
    }
}

std::string formatWithdrawal(const WithdrawnKey &withdrawn)
{
    return toText({{"withdrawnAtMs", withdrawn.withdrawnAtMs}});
}

Result<WithdrawnKey> parseWithdrawal(const TableRow &row)
{
    try {
        return WithdrawnKey{.key = KeyId(row.key.substr(WithdrawnPrefix.size())),
                            .withdrawnAtMs = Json::parse(row.value).at("withdrawnAtMs").get<std::int64_t>()};
    } catch (const Json::exception &) {
        return malformedRow(row.key, "withdrawn key");
    }
}

} // namespace vanillatack
