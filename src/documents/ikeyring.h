#pragma once

#include "base/error.h"
#include "model/ids.h"
#include "model/request.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillatack {

/// A granted key as stored in the key document. The key itself is never stored.
struct KeyRecord {
    KeyId id;
    std::string digest; ///< SHA-256 of the key, hexadecimal.
    WorkspaceName workspace;
    std::string note;

    bool operator==(const KeyRecord &) const = default;
};

/// Result of checking a caller's key.
struct KeyCheck {
    RefusalKind refusal = RefusalKind::None; ///< None, UnknownKey or WithdrawnKey.
    KeyId id;
    WorkspaceName workspace;
};

/// Whether the text is a valid key id: 1 to 128 letters, digits, "-", "_" and ".". Ids are used in row keys.
bool isKeyId(std::string_view text);

/// Serializes the key document as JSON.
std::string formatKeyDocument(const std::vector<KeyRecord> &records);

/// Parses and validates a key document. Errors: InvalidConfiguration.
Result<std::vector<KeyRecord>> parseKeyDocument(std::string_view content);

/// Checks callers' keys against the key document and the withdrawn keys.
class IKeyring
{
public:
    virtual ~IKeyring() = default;

    virtual void setRecords(std::vector<KeyRecord> records) = 0;
    virtual void addWithdrawn(const KeyId &key) = 0;

    [[nodiscard]] virtual KeyCheck check(std::string_view key) const = 0;
    [[nodiscard]] virtual const std::vector<KeyRecord> &records() const = 0;
};

} // namespace vanillatack
