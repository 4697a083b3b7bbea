#include "documents/ikeyring.h"

#include <nlohmann/json.hpp>

#include <set>

namespace vanillatack {

namespace {

using Json = nlohmann::json;

constexpr std::size_t DigestLength = 64;
constexpr std::size_t MaxKeyIdLength = 128;

Error invalid(const std::string &message, const std::string &remedy)
{
    return makeError(ErrorKind::InvalidConfiguration, "Invalid key document: " + message + ".", remedy);
}

// Throws if a member is absent or has the wrong type; parseKeyDocument() converts the exception to an error.
KeyRecord recordFrom(const Json &json)
{
    return {.id = KeyId(json.at("id").get<std::string>()),
            .digest = json.at("digest").get<std::string>(),
            .workspace = WorkspaceName(json.at("workspace").get<std::string>()),
            .note = json.value("note", "")};
}

bool isDigest(const std::string &text)
{
    return text.size() == DigestLength && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

Result<void> checkRecords(const std::vector<KeyRecord> &records)
{
    std::set<std::string> ids;
    std::set<std::string> digests;
    for (const KeyRecord &record : records) {
        if (!isKeyId(record.id.value)) {
            return invalid("the key id \"" + record.id.value + "\" is not valid",
                           "Use 1 to 128 letters, digits, \"-\", \"_\" and \".\".");
        }
        if (!isDigest(record.digest)) {
            return invalid("the digest of key " + record.id.value + " is not SHA-256 in lower-case hexadecimal",
                           "Grant a new key with the command line tool.");
        }
        if (record.workspace.empty()) {
            return invalid("the key " + record.id.value + " has no workspace", "Add the name of its workspace.");
        }
        if (!ids.insert(record.id.value).second || !digests.insert(record.digest).second) {
            return invalid("the id or digest of key " + record.id.value + " occurs twice",
                           "Remove one of the records.");
        }
    }
    return success();
}

} // namespace

bool isKeyId(std::string_view text)
{
    constexpr std::string_view Allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    return !text.empty() && text.size() <= MaxKeyIdLength && text.find_first_not_of(Allowed) == std::string::npos;
}

std::string formatKeyDocument(const std::vector<KeyRecord> &records)
{
    Json keys = Json::array();
    for (const KeyRecord &record : records) {
        keys.push_back({{"id", record.id.value},
                        {"digest", record.digest},
                        {"workspace", record.workspace.value},
                        {"note", record.note}});
    }
    // Notes are entered by operators; invalid UTF-8 in them must not prevent a key from being granted.
    return Json{{"keys", keys}}.dump(1, ' ', false, Json::error_handler_t::replace) + "\n";
}

Result<std::vector<KeyRecord>> parseKeyDocument(std::string_view content)
{
    std::vector<KeyRecord> records;
    try {
        const Json json = Json::parse(content);
        for (const Json &key : json.at("keys")) {
            records.push_back(recordFrom(key));
        }
    } catch (const Json::exception &) {
        // The parser's message is not passed on, since it quotes the content.
        return invalid("it is not JSON of the form {\"keys\": [{\"id\", \"digest\", \"workspace\", \"note\"}]}",
                       "Change keys only with the command line tool.");
    }
    const Result<void> checked = checkRecords(records);
    if (!checked) {
        return checked.error();
    }
    return records;
}

} // namespace vanillatack
