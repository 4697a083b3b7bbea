#include "documents/keygrant.h"

#include "base/digest.h"

#include <utility>

namespace vanillatack {

namespace {

constexpr int KeyBits = 256;
constexpr int KeyIdBits = 64;

} // namespace

GrantedKey grantKey(IRandom &random, const WorkspaceName &workspace, const std::string &note)
{
    GrantedKey granted;
    granted.key = "vt_" + random.hexToken(KeyBits);
    granted.record = {.id = KeyId("key-" + random.hexToken(KeyIdBits)),
                      .digest = sha256Hex(granted.key),
                      .workspace = workspace,
                      .note = note};
    return granted;
}

std::vector<KeyRecord> withoutKey(std::vector<KeyRecord> records, const KeyId &key)
{
    std::erase_if(records, [&key](const KeyRecord &record) {
        return record.id == key;
    });
    return records;
}

} // namespace vanillatack
