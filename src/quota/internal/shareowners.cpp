#include "quota/internal/shareowners.h"

#include <algorithm>
#include <tuple>

namespace vanillatack {

namespace {

constexpr int MaxConsecutiveTimeouts = 2;
constexpr std::chrono::seconds UnresponsivePeriod{2};

// Rendezvous hash: FNV-1a with a final mix. All nodes get the same value, unlike with absl::Hash.
std::uint64_t rank(std::string_view subject, std::string_view owner)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const std::string_view part : {subject, std::string_view("/"), owner}) {
        for (const char character : part) {
            hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211ULL;
        }
    }
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    return hash ^ (hash >> 33);
}

} // namespace

ShareOwners::ShareOwners(const NodeName &self)
    : m_self(self)
{
}

void ShareOwners::set(const std::vector<Member> &members)
{
    std::vector<ShareOwner> owners;
    for (const Member &member : members) {
        ShareOwner owner{.member = member, .sameZone = member.zone == members.front().zone};
        if (const ShareOwner *known = find(member.node)) {
            owner.timeouts = known->timeouts;
            owner.unresponsiveUntil = known->unresponsiveUntil;
        }
        owners.push_back(owner);
    }
    m_owners = std::move(owners);
}

std::size_t ShareOwners::count() const
{
    return m_owners.size();
}

bool ShareOwners::isOwner(const NodeName &node) const
{
    return find(node) != nullptr;
}

bool ShareOwners::selfIsOwner() const
{
    return isOwner(m_self);
}

const ShareOwner *ShareOwners::find(const NodeName &node) const
{
    const auto found = std::find_if(m_owners.begin(), m_owners.end(), [&](const ShareOwner &owner) {
        return owner.member.node == node;
    });
    return found == m_owners.end() ? nullptr : &*found;
}

const ShareOwner *ShareOwners::highestRanked(std::string_view subject, bool preferSameZone, TimePoint now) const
{
    const ShareOwner *result = nullptr;
    std::tuple<bool, bool, std::uint64_t> highest;
    for (const ShareOwner &owner : m_owners) {
        const bool responsive = owner.unresponsiveUntil <= now || owner.member.node == m_self;
        const std::tuple<bool, bool, std::uint64_t> candidate(
            responsive, preferSameZone && owner.sameZone, rank(subject, owner.member.node.value));
        if (result == nullptr || candidate > highest) {
            result = &owner;
            highest = candidate;
        }
    }
    return result;
}

const ShareOwner *ShareOwners::homeOwner(TimePoint now) const
{
    return highestRanked(m_self.value, true, now);
}

const ShareOwner *ShareOwners::poolOwner(const WorkspaceName &workspace, TimePoint now) const
{
    return highestRanked(workspace.value, false, now);
}

std::vector<const ShareOwner *> ShareOwners::lenders(const WorkspaceName &workspace, TimePoint now) const
{
    std::vector<std::pair<std::uint64_t, const ShareOwner *>> ranked;
    const std::string subject = workspace.value + "/" + m_self.value;
    for (const ShareOwner &owner : m_owners) {
        if (owner.member.node != m_self && owner.unresponsiveUntil <= now) {
            // The top bit sorts the own zone first; the hash loses its lowest bit for it.
            const std::uint64_t zoneBit = owner.sameZone ? 0 : 1ULL << 63;
            ranked.emplace_back(zoneBit | (rank(subject, owner.member.node.value) >> 1), &owner);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<const ShareOwner *> result;
    result.reserve(ranked.size());
    for (const auto &entry : ranked) {
        result.push_back(entry.second);
    }
    return result;
}

void ShareOwners::recordAnswer(const NodeName &node)
{
    for (ShareOwner &owner : m_owners) {
        if (owner.member.node == node) {
            owner.timeouts = 0;
            owner.unresponsiveUntil = {};
        }
    }
}

void ShareOwners::recordTimeout(const NodeName &node, std::uint64_t sequence, TimePoint now)
{
    for (ShareOwner &owner : m_owners) {
        if (owner.member.node != node || owner.lastTimedOutSequence == sequence) {
            continue;
        }
        owner.lastTimedOutSequence = sequence;
        if (++owner.timeouts >= MaxConsecutiveTimeouts) {
            owner.unresponsiveUntil = now + UnresponsivePeriod;
        }
    }
}

} // namespace vanillatack
