#pragma once

#include "base/random.h"
#include "documents/ikeyring.h"

#include <string>
#include <vector>

namespace vanillatack {

/// A new API key. The key itself is shown to the operator once and never stored or logged.
struct GrantedKey {
    std::string key; ///< "vt_" followed by 256 random bits in hexadecimal.
    KeyRecord record;
};

/// Generates a key for a workspace. Production code must pass SystemRandom.
GrantedKey grantKey(IRandom &random, const WorkspaceName &workspace, const std::string &note);

/// Returns the records without that of the key, for the key document that follows a withdrawal. The withdrawal of a key
/// that is still in the key document is kept beyond the retention.
std::vector<KeyRecord> withoutKey(std::vector<KeyRecord> records, const KeyId &key);

} // namespace vanillatack
