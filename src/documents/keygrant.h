#pragma once

#include "base/random.h"
#include "documents/ikeyring.h"

#include <string>
#include <vector>

namespace vanillatack {

/// A new key. The text of the key is shown to the operator once and never kept or logged.
struct GrantedKey {
    std::string key; ///< "vt_" and 256 random bits in hexadecimal.
    KeyRecord record;
};

/// Makes a key for a workspace. Random must be SystemRandom outside of tests.
GrantedKey grantKey(IRandom &random, const WorkspaceName &workspace, const std::string &note);

/// The records without the key; for the key document that follows a withdrawal. A withdrawn key that stays in the
/// document is never forgotten, whatever the retention.
std::vector<KeyRecord> withoutKey(std::vector<KeyRecord> records, const KeyId &key);

} // namespace vanillatack
