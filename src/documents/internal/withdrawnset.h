#pragma once

#include "model/messages.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace vanillatack {

/// The withdrawn keys known to this node, with a count and a hash that are equal on all nodes that know the same keys.
class WithdrawnSet
{
public:
    /// Adds what is new and returns it. A key that is known keeps its time.
    std::vector<WithdrawnKey> add(const std::vector<WithdrawnKey> &keys);

    /// Forgets keys withdrawn before the given time for which mayForget returns true. Returns them.
    std::vector<WithdrawnKey> forget(std::int64_t beforeMs, const std::function<bool(const KeyId &)> &mayForget);

    [[nodiscard]] bool contains(const KeyId &key) const;
    [[nodiscard]] std::optional<WithdrawnKey> find(const KeyId &key) const;

    /// All keys, ordered by id.
    [[nodiscard]] std::vector<WithdrawnKey> all() const;

    [[nodiscard]] std::uint64_t count() const;

    /// XOR of the first 64 bits of the SHA-256 of each id.
    [[nodiscard]] std::uint64_t hash() const;

private:
    std::map<KeyId, std::int64_t> m_keys; ///< Wall time of the withdrawal in ms.
    std::uint64_t m_hash = 0;
};

} // namespace vanillatack
