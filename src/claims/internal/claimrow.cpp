#include "claims/internal/claimrow.h"

#include "base/digest.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace vanillatack {

namespace {

using Json = nlohmann::json;

std::string toBase64(const std::string &data)
{
    std::string text((data.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       reinterpret_cast<const unsigned char *>(data.data()),
                                       static_cast<int>(data.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> fromBase64(const std::string &text)
{
    if (text.empty()) {
        return std::string();
    }
    std::string data(text.size() / 4 * 3 + 3, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(data.data()),
                                       reinterpret_cast<const unsigned char *>(text.data()),
                                       static_cast<int>(text.size()));
    if (length < 0) {
        return std::nullopt;
    }
    // EVP_DecodeBlock includes the padding in the length.
    const std::size_t padding = text.ends_with("==") ? 2 : (text.ends_with("=") ? 1 : 0);
    data.resize(static_cast<std::size_t>(length) - padding);
    return data;
}

/// Encodes a part with its length, so that concatenated parts stay unambiguous whatever bytes they contain.
std::string lengthPrefixed(const std::string &part)
{
    return std::to_string(part.size()) + ":" + part;
}

std::optional<StoredAnswer> decodeAnswer(const Json &json)
{
    StoredAnswer answer;
    answer.status = json.at("status").get<int>();
    for (const Json &header : json.at("headers")) {
        const auto name = fromBase64(header.at(0).get<std::string>());
        const auto value = fromBase64(header.at(1).get<std::string>());
        if (!name || !value) {
            return std::nullopt;
        }
        answer.headers.emplace_back(*name, *value);
    }
    const auto body = fromBase64(json.at("body").get<std::string>());
    if (!body) {
        return std::nullopt;
    }
    answer.body = *body;
    return answer;
}

} // namespace

std::string claimRowKey(const ClaimKey &key)
{
    return "claim/"
        + sha256Hex(lengthPrefixed(key.workspace.value) + lengthPrefixed(key.route.value)
                    + lengthPrefixed(key.idempotencyKey));
}

std::string encodeClaimRow(const ClaimRow &row)
{
    Json json{{"attempt", row.attempt},
              {"digest", row.digest},
              {"state", std::string(ClaimStateNames.name(row.state))},
              {"expires", row.expiresAtMs}};
    if (row.state == ClaimState::Answered) {
        Json headers = Json::array();
        for (const auto &[name, value] : row.answer.headers) {
            headers.push_back(Json::array({toBase64(name), toBase64(value)}));
        }
        json["status"] = row.answer.status;
        json["headers"] = std::move(headers);
        json["body"] = toBase64(row.answer.body);
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<ClaimRow> decodeClaimRow(const std::string &text)
{
    try {
        const Json json = Json::parse(text);
        ClaimRow row;
        row.attempt = json.at("attempt").get<std::string>();
        row.digest = json.at("digest").get<std::string>();
        row.expiresAtMs = json.at("expires").get<std::int64_t>();
        const auto state = ClaimStateNames.value(json.at("state").get<std::string>());
        if (!state) {
            return std::nullopt;
        }
        row.state = *state;
        if (row.state == ClaimState::Answered) {
            auto answer = decodeAnswer(json);
            if (!answer) {
                return std::nullopt;
            }
            row.answer = std::move(*answer);
        }
        return row;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace vanillatack
