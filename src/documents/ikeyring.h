#pragma once

#include "base/error.h"
#include "model/ids.h"
#include "model/request.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillatack {

/// A granted key as kept in the key document. The key itself is never kept.
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

/// Whether the text may be the id of a key: up to 128 letters, digits, "-", "_" and ".". Ids become keys of rows.
bool isKeyId(std::string_view text);

/// Text form of the key document (JSON). Errors: InvalidConfiguration.
std::string formatKeyDocument(const std::vector<KeyRecord> &records);
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
