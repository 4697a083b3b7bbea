#include "quota/internal/owners.h"

#include <algorithm>
#include <tuple>

namespace vanillatack {

namespace {

constexpr int TimeoutsUntilSilent = 2;
constexpr std::chrono::seconds SilentTime{2};

// FNV-1a with a final mix; the same on all nodes, unlike absl::Hash.
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

Owners::Owners(const NodeName &self)
    : m_self(self)
{
}

void Owners::set(const std::vector<Member> &members)
{
    std::vector<Owner> owners;
    for (const Member &member : members) {
        Owner owner{.member = member, .ownZone = member.zone == members.front().zone};
        if (const Owner *known = find(member.node)) {
            owner.timeouts = known->timeouts;
            owner.silentUntil = known->silentUntil;
        }
        owners.push_back(owner);
    }
    m_owners = std::move(owners);
}

std::size_t Owners::count() const
{
    return m_owners.size();
}

bool Owners::isOwner(const NodeName &node) const
{
    return find(node) != nullptr;
}

bool Owners::selfIsOwner() const
{
    return isOwner(m_self);
}

const Owner *Owners::find(const NodeName &node) const
{
    const auto found = std::find_if(m_owners.begin(), m_owners.end(), [&](const Owner &owner) {
        return owner.member.node == node;
    });
    return found == m_owners.end() ? nullptr : &*found;
}

const Owner *Owners::best(std::string_view subject, bool preferOwnZone, TimePoint now) const
{
    const Owner *result = nullptr;
    std::tuple<bool, bool, std::uint64_t> highest;
    for (const Owner &owner : m_owners) {
        const bool answers = owner.silentUntil <= now || owner.member.node == m_self;
        const std::tuple<bool, bool, std::uint64_t> candidate(
            answers, preferOwnZone && owner.ownZone, rank(subject, owner.member.node.value));
        if (result == nullptr || candidate > highest) {
            result = &owner;
            highest = candidate;
        }
    }
    return result;
}

const Owner *Owners::home(TimePoint now) const
{
    return best(m_self.value, true, now);
}

const Owner *Owners::collector(const WorkspaceName &workspace, TimePoint now) const
{
    return best(workspace.value, false, now);
}

std::vector<const Owner *> Owners::lenders(const WorkspaceName &workspace, TimePoint now) const
{
    std::vector<std::pair<std::uint64_t, const Owner *>> ranked;
    const std::string subject = workspace.value + "/" + m_self.value;
    for (const Owner &owner : m_owners) {
        if (owner.member.node != m_self && owner.silentUntil <= now) {
            // The own zone comes first; the top bit of the rank is given up for it.
            const std::uint64_t zoneBit = owner.ownZone ? 0 : 1ULL << 63;
            ranked.emplace_back(zoneBit | (rank(subject, owner.member.node.value) >> 1), &owner);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<const Owner *> result;
    result.reserve(ranked.size());
    for (const auto &entry : ranked) {
        result.push_back(entry.second);
    }
    return result;
}

void Owners::noteAnswer(const NodeName &node)
{
    for (Owner &owner : m_owners) {
        if (owner.member.node == node) {
            owner.timeouts = 0;
            owner.silentUntil = {};
        }
    }
}

void Owners::noteTimeout(const NodeName &node, std::uint64_t sequence, TimePoint now)
{
    for (Owner &owner : m_owners) {
        if (owner.member.node != node || owner.timedOutSequence == sequence) {
            continue;
        }
        owner.timedOutSequence = sequence;
        if (++owner.timeouts >= TimeoutsUntilSilent) {
            owner.silentUntil = now + SilentTime;
        }
    }
}

} // namespace vanillatack
