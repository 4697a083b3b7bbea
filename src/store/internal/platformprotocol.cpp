#include "store/platformprotocol.h"

#include "base/text.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace vanillatack {

namespace {

using Json = nlohmann::json;

Json rowToJson(const TableRow &row)
{
    return {{"key", row.key}, {"value", absl::Base64Escape(row.value)}, {"version", row.version}};
}

// The functions that read JSON throw if it is malformed; decode() converts the exception to an error.
std::string valueFromJson(const Json &value)
{
    std::string bytes;
    if (!absl::Base64Unescape(value.get_ref<const std::string &>(), &bytes)) {
        throw std::invalid_argument("a value is not Base64");
    }
    return bytes;
}

TableRow rowFromJson(const Json &json)
{
    return {.key = json.at("key").get<std::string>(),
            .value = valueFromJson(json.at("value")),
            .version = json.at("version").get<std::uint64_t>()};
}

Json writeToJson(const TableWrite &write)
{
    Json json = {{"key", write.key}};
    json["value"] = write.value ? Json(absl::Base64Escape(*write.value)) : Json(nullptr);
    if (write.expectedVersion) {
        json["expectedVersion"] = *write.expectedVersion;
    }
    return json;
}

TableWrite writeFromJson(const Json &json)
{
    TableWrite write;
    write.key = json.at("key").get<std::string>();
    if (!json.at("value").is_null()) {
        write.value = valueFromJson(json.at("value"));
    }
    if (json.contains("expectedVersion")) {
        write.expectedVersion = json.at("expectedVersion").get<std::uint64_t>();
    }
    return write;
}

/// Parses the JSON text and converts it with the reader. Errors: InvalidMessage.
template<class Value, class Reader>
Result<Value> decode(std::string_view text, Reader read)
{
    try {
        return read(Json::parse(text));
    } catch (const std::exception &exception) {
        return makeError(ErrorKind::InvalidMessage,
                         std::string("Malformed message of the platform protocol: ") + exception.what() + ".",
                         "Check that the address is the platform's and that both sides use protocol version 1.");
    }
}

/// Serializes the JSON. Errors: InvalidArgument if a string in it is not UTF-8.
Result<std::string> encode(const Json &json)
{
    try {
        return json.dump();
    } catch (const Json::exception &) {
        return makeError(ErrorKind::InvalidArgument,
                         "A table key is not valid UTF-8.",
                         "Escape or hash bytes from external input before using them in a key.");
    }
}

} // namespace

std::string encodeRow(const TableRow &row)
{
    return rowToJson(row).dump();
}

Result<TableRow> decodeRow(std::string_view text)
{
    return decode<TableRow>(text, rowFromJson);
}

std::string encodeRows(const std::vector<TableRow> &rows)
{
    Json list = Json::array();
    for (const TableRow &row : rows) {
        list.push_back(rowToJson(row));
    }
    return Json{{"rows", list}}.dump();
}

Result<std::vector<TableRow>> decodeRows(std::string_view text)
{
    return decode<std::vector<TableRow>>(text, [](const Json &json) {
        std::vector<TableRow> rows;
        for (const Json &row : json.at("rows")) {
            rows.push_back(rowFromJson(row));
        }
        return rows;
    });
}

Result<std::string> encodeKeys(const std::vector<std::string> &keys)
{
    return encode({{"keys", keys}});
}

Result<std::vector<std::string>> decodeKeys(std::string_view text)
{
    return decode<std::vector<std::string>>(text, [](const Json &json) {
        return json.at("keys").get<std::vector<std::string>>();
    });
}

Result<std::string> encodeWrites(const std::vector<TableWrite> &writes)
{
    Json list = Json::array();
    for (const TableWrite &write : writes) {
        list.push_back(writeToJson(write));
    }
    return encode({{"writes", list}});
}

Result<std::vector<TableWrite>> decodeWrites(std::string_view text)
{
    return decode<std::vector<TableWrite>>(text, [](const Json &json) {
        std::vector<TableWrite> writes;
        for (const Json &write : json.at("writes")) {
            writes.push_back(writeFromJson(write));
        }
        return writes;
    });
}

std::string encodeCommit(const TableCommit &commit)
{
    return Json{{"committed", commit.committed}, {"conflicts", commit.conflicts}, {"versions", commit.versions}}.dump();
}

Result<TableCommit> decodeCommit(std::string_view text)
{
    return decode<TableCommit>(text, [](const Json &json) {
        return TableCommit{.committed = json.at("committed").get<bool>(),
                           .conflicts = json.at("conflicts").get<std::vector<std::size_t>>(),
                           .versions = json.at("versions").get<std::vector<std::uint64_t>>()};
    });
}

std::string percentEncode(std::string_view text)
{
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (absl::ascii_isalnum(byte) || std::string_view("-._~/").find(character) != std::string_view::npos) {
            encoded += character;
        } else {
            absl::StrAppend(&encoded, "%", absl::Hex(byte, absl::kZeroPad2));
        }
    }
    return encoded;
}

} // namespace vanillatack
