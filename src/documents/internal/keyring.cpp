#include "base/digest.h"
#include "documents/documentssetup.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <utility>

namespace vanillatack {

namespace {

class Keyring final : public IKeyring
{
public:
    void setRecords(std::vector<KeyRecord> records) override
    {
        m_records = std::move(records);
        m_byDigest.clear();
        for (std::size_t index = 0; index < m_records.size(); ++index) {
            m_byDigest.emplace(m_records[index].digest, index);
        }
    }

    void addWithdrawn(const KeyId &key) override
    {
        m_withdrawn.insert(key);
    }

    // Looks keys up by digest, so that the lookup time reveals nothing about them.
    [[nodiscard]] KeyCheck check(std::string_view key) const override
    {
        const auto found = m_byDigest.find(sha256Hex(key));
        if (found == m_byDigest.end()) {
            return {.refusal = RefusalKind::UnknownKey, .id = {}, .workspace = {}};
        }
        const KeyRecord &record = m_records[found->second];
        const bool withdrawn = m_withdrawn.contains(record.id);
        return {.refusal = withdrawn ? RefusalKind::WithdrawnKey : RefusalKind::None,
                .id = record.id,
                .workspace = record.workspace};
    }

    [[nodiscard]] const std::vector<KeyRecord> &records() const override
    {
        return m_records;
    }

private:
    std::vector<KeyRecord> m_records;
    absl::flat_hash_map<std::string, std::size_t> m_byDigest; ///< Index into m_records.
    absl::flat_hash_set<KeyId> m_withdrawn;
};

} // namespace

std::unique_ptr<IKeyring> makeKeyring()
{
    return std::make_unique<Keyring>();
}

} // namespace vanillatack
