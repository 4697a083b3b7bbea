#include "documents/internal/withdrawnset.h"

#include "base/digest.h"
#include "base/invariant.h"

#include <string>

namespace vanillatack {

namespace {

std::uint64_t keyHash(const KeyId &key)
{
    return std::stoull(sha256Hex(key.value).substr(0, 16), nullptr, 16);
}

} // namespace

std::vector<WithdrawnKey> WithdrawnSet::add(const std::vector<WithdrawnKey> &keys)
{
    std::vector<WithdrawnKey> added;
    for (const WithdrawnKey &withdrawn : keys) {
        if (m_keys.emplace(withdrawn.key, withdrawn.withdrawnAtMs).second) {
            m_hash ^= keyHash(withdrawn.key);
            added.push_back(withdrawn);
        }
    }
    return added;
}

std::vector<WithdrawnKey> WithdrawnSet::removeExpired(std::int64_t beforeMs,
                                                      const std::function<bool(const KeyId &)> &mayRemove)
{
    std::vector<WithdrawnKey> removed;
    for (auto entry = m_keys.begin(); entry != m_keys.end();) {
        if (entry->second < beforeMs && mayRemove(entry->first)) {
            m_hash ^= keyHash(entry->first);
            removed.push_back({.key = entry->first, .withdrawnAtMs = entry->second});
            entry = m_keys.erase(entry);
        } else {
            ++entry;
        }
    }
    VT_INVARIANT(!m_keys.empty() || m_hash == 0, "The hash of an empty set of withdrawn keys must be zero.");
    return removed;
}

bool WithdrawnSet::contains(const KeyId &key) const
{
    return m_keys.contains(key);
}

std::optional<WithdrawnKey> WithdrawnSet::find(const KeyId &key) const
{
    const auto found = m_keys.find(key);
    if (found == m_keys.end()) {
        return std::nullopt;
    }
    return WithdrawnKey{.key = found->first, .withdrawnAtMs = found->second};
}

std::vector<WithdrawnKey> WithdrawnSet::all() const
{
    std::vector<WithdrawnKey> keys;
    keys.reserve(m_keys.size());
    for (const auto &[key, withdrawnAtMs] : m_keys) {
        keys.push_back({.key = key, .withdrawnAtMs = withdrawnAtMs});
    }
    return keys;
}

std::uint64_t WithdrawnSet::count() const
{
    return m_keys.size();
}

std::uint64_t WithdrawnSet::hash() const
{
    return m_hash;
}

} // namespace vanillatack
