#pragma once

#include "model/messages.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace vanillatack {

/// The withdrawn keys known to this node. Nodes with the same keys have the same count and hash.
class WithdrawnSet
{
public:
    /// Adds new keys and returns them. A key already in the set keeps its withdrawal time.
    std::vector<WithdrawnKey> add(const std::vector<WithdrawnKey> &keys);

    /// Removes keys withdrawn before the given time (milliseconds since the Unix epoch) for which mayRemove returns
    /// true, and returns them.
    std::vector<WithdrawnKey> removeExpired(std::int64_t beforeMs, const std::function<bool(const KeyId &)> &mayRemove);

    [[nodiscard]] bool contains(const KeyId &key) const;
    [[nodiscard]] std::optional<WithdrawnKey> find(const KeyId &key) const;

    /// Returns all keys, ordered by id.
    [[nodiscard]] std::vector<WithdrawnKey> all() const;

    [[nodiscard]] std::uint64_t count() const;

    /// XOR of the first 64 bits of the SHA-256 of each id.
    [[nodiscard]] std::uint64_t hash() const;

private:
    std::map<KeyId, std::int64_t> m_keys; ///< Time of the withdrawal in milliseconds since the Unix epoch, by key.
    std::uint64_t m_hash = 0;
};

} // namespace vanillatack
