#include "membership/internal/membertable.h"

#include "base/invariant.h"
#include "membership/internal/membertransition.h"

#include <algorithm>
#include <bit>

namespace vanillatack {

namespace {

constexpr Duration RemovalInterval = std::chrono::seconds(10);
constexpr std::uint64_t FnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t FnvPrime = 0x100000001b3ULL;

Member asDead(const Member &member)
{
    Member dead = member;
    dead.state = MemberState::Dead;
    return dead;
}

} // namespace

MemberTable::MemberTable(const MembershipSettings &settings, ZoneName zone, NodeName self)
    : m_settings(settings)
    , m_zone(std::move(zone))
    , m_self(std::move(self))
{
}

void MemberTable::setSelf(const Member &self, TimePoint now)
{
    MemberRecord &record = m_records[self.node];
    VT_INVARIANT(self.incarnation >= record.member.incarnation, "The own incarnation decreased.");
    store(record, self, now);
}

MergeResult MemberTable::merge(const Member &reported, TimePoint now)
{
    if (reported.zone != m_zone || reported.node == m_self || reported.node.empty()) {
        return MergeResult::Unchanged;
    }
    const auto found = m_records.find(reported.node);
    if (found == m_records.end()) {
        return mergeUnknown(reported, now);
    }
    MemberRecord &record = found->second;
    const auto order = compareIncarnations(reported.incarnation, record.member.incarnation);
    if (order == IncarnationOrder::Older) {
        return MergeResult::Contradicted;
    }
    const MemberState next = nextMemberState(record.member.state, reported.state, order);
    const bool newer = order == IncarnationOrder::Newer;
    const bool startsSuspicion = reported.state == MemberState::Suspect && isLive(next) && !record.suspectSince;
    if (!newer && next == record.member.state && !startsSuspicion) {
        const bool contradicted = !isLive(next) && isLive(reported.state);
        return contradicted ? MergeResult::Contradicted : MergeResult::Unchanged;
    }
    if (newer && isLive(next) && !takeOverEndpoint(reported, now)) {
        return MergeResult::Unchanged;
    }
    if (newer || !isLive(next)) {
        record.suspectSince.reset();
    }
    if (startsSuspicion) {
        record.suspectSince = now;
        m_suspects.insert(reported.node);
    }
    Member member = newer ? reported : record.member;
    member.state = next;
    store(record, member, now);
    return MergeResult::Changed;
}

MergeResult MemberTable::mergeUnknown(const Member &reported, TimePoint now)
{
    const auto removed = m_removedIncarnations.find(reported.node);
    if (removed != m_removedIncarnations.end() && reported.incarnation <= removed->second) {
        return isLive(reported.state) ? MergeResult::Contradicted : MergeResult::Unchanged;
    }
    if (!isLive(reported.state)) {
        // Not gossiped: the dead member has no entry here, so the report changes nothing.
        recordRemoved(reported);
        return MergeResult::Unchanged;
    }
    if (!takeOverEndpoint(reported, now)) {
        return MergeResult::Unchanged;
    }
    MemberRecord &record = m_records[reported.node];
    if (reported.state == MemberState::Suspect) {
        record.suspectSince = now;
        m_suspects.insert(reported.node);
    }
    store(record, reported, now);
    return MergeResult::Changed;
}

bool MemberTable::takeOverEndpoint(const Member &reported, TimePoint now)
{
    const auto holder = m_liveEndpoints.find(reported.endpoint);
    if (holder == m_liveEndpoints.end() || holder->second == reported.node) {
        return true;
    }
    // An address belongs to one VM at a time, so the node with the lower incarnation was replaced.
    MemberRecord &other = m_records.at(holder->second);
    if (other.member.incarnation >= reported.incarnation || other.member.node == m_self) {
        return false;
    }
    other.suspectSince.reset();
    store(other, asDead(other.member), now);
    return true;
}

void MemberTable::store(MemberRecord &record, const Member &member, TimePoint now)
{
    VT_INVARIANT(member.incarnation >= record.member.incarnation, "The incarnation of a member decreased.");
    for (const ServiceName &service : {record.member.service, member.service}) {
        if (!service.empty()) {
            m_changedServices.insert(service);
        }
    }
    const auto holder = m_liveEndpoints.find(record.member.endpoint);
    if (holder != m_liveEndpoints.end() && holder->second == member.node) {
        m_liveEndpoints.erase(holder);
    }
    if (isLive(member.state)) {
        m_liveEndpoints[member.endpoint] = member.node;
    }
    record.member = member;
    record.changedAt = now;
    ++m_generation;
    enqueueUpdate(record);
}

void MemberTable::enqueueUpdate(MemberRecord &record)
{
    // 3 + 1.5 log2(n) transmissions, above the 2 ln(n) per node that reach all n members with high probability.
    record.transmissionsLeft = 3 + static_cast<int>(3 * std::bit_width(m_records.size()) / 2);
    m_updates[record.transmissionsLeft].push_back(record.member.node);
}

void MemberTable::suspect(const NodeName &node, TimePoint now)
{
    MemberRecord *record = find(node);
    if (!record || !isLive(record->member.state) || record->suspectSince) {
        return;
    }
    Member suspected = record->member;
    suspected.state = MemberState::Suspect;
    merge(suspected, now);
}

void MemberTable::rebroadcastDead(const NodeName &node, std::uint64_t incarnation)
{
    MemberRecord *record = find(node);
    if (record && record->member.state == MemberState::Dead && record->member.incarnation == incarnation) {
        enqueueUpdate(*record);
    }
}

void MemberTable::expire(TimePoint now)
{
    for (auto next = m_suspects.begin(); next != m_suspects.end();) {
        const auto current = next++;
        MemberRecord *record = find(*current);
        if (record && record->suspectSince && now - *record->suspectSince < m_settings.suspicionTimeout) {
            continue;
        }
        m_suspects.erase(current);
        if (record && record->suspectSince) {
            record->suspectSince.reset();
            store(*record, asDead(record->member), now);
        }
    }
    if (now >= m_nextRemoval) {
        m_nextRemoval = now + RemovalInterval;
        removeExpired(now);
    }
}

void MemberTable::removeExpired(TimePoint now)
{
    for (auto next = m_records.begin(); next != m_records.end();) {
        const auto current = next++;
        const MemberRecord &record = current->second;
        if (!isLive(record.member.state) && now - record.changedAt >= m_settings.deadRetention) {
            recordRemoved(record.member);
            m_records.erase(current);
        }
    }
}

void MemberTable::extendSuspicions(Duration gap)
{
    for (auto &[node, record] : m_records) {
        if (record.suspectSince) {
            *record.suspectSince += gap;
        }
    }
}

void MemberTable::removeOthers()
{
    for (auto next = m_records.begin(); next != m_records.end();) {
        const auto current = next++;
        if (current->first == m_self) {
            continue;
        }
        const Member &member = current->second.member;
        m_changedServices.insert(member.service);
        if (!isLive(member.state)) {
            recordRemoved(member);
        }
        m_liveEndpoints.erase(member.endpoint);
        m_records.erase(current);
    }
    ++m_generation;
}

void MemberTable::recordRemoved(const Member &removed)
{
    const auto [entry, added] = m_removedIncarnations.try_emplace(removed.node, removed.incarnation);
    entry->second = std::max(entry->second, removed.incarnation);
    if (added) {
        m_removalOrder.push_back(removed.node);
    }
    if (m_removalOrder.size() > m_settings.maxRemovedIncarnations) {
        m_removedIncarnations.erase(m_removalOrder.front());
        m_removalOrder.pop_front();
    }
}

std::vector<Member> MemberTable::popUpdates(std::size_t maxBytes)
{
    std::vector<Member> popped;
    std::size_t bytes = 0;
    for (removeOutdatedUpdates(); !m_updates.empty(); removeOutdatedUpdates()) {
        auto &[transmissions, nodes] = *m_updates.begin();
        MemberRecord &record = m_records.at(nodes.front());
        bytes += estimateBytes(record.member);
        if (bytes > maxBytes) {
            break;
        }
        nodes.pop_front();
        // Negative while in this message, so that removeOutdatedUpdates() drops other queue entries of the record.
        record.transmissionsLeft = -record.transmissionsLeft;
        popped.push_back(record.member);
        if (record.suspectSince) {
            popped.back().state = MemberState::Suspect;
        }
    }
    for (const Member &member : popped) {
        MemberRecord &record = m_records.at(member.node);
        record.transmissionsLeft = -record.transmissionsLeft - 1;
        if (record.transmissionsLeft > 0) {
            m_updates[record.transmissionsLeft].push_back(member.node);
        }
    }
    return popped;
}

void MemberTable::removeOutdatedUpdates()
{
    while (!m_updates.empty()) {
        auto &[transmissions, nodes] = *m_updates.begin();
        if (nodes.empty()) {
            m_updates.erase(m_updates.begin());
            continue;
        }
        const MemberRecord *record = find(nodes.front());
        if (record && record->transmissionsLeft == transmissions) {
            return;
        }
        nodes.pop_front();
    }
}

std::optional<Member> MemberTable::contradictionOf(const Member &reported) const
{
    const MemberRecord *record = find(reported.node);
    if (!record) {
        const auto removed = m_removedIncarnations.find(reported.node);
        if (removed == m_removedIncarnations.end() || reported.incarnation > removed->second) {
            return std::nullopt;
        }
        Member dead = asDead(reported);
        dead.incarnation = removed->second;
        return dead;
    }
    Member known = record->member;
    if (record->suspectSince) {
        known.state = MemberState::Suspect;
    }
    const bool refutable = known.state == MemberState::Suspect || !isLive(known.state);
    const bool contradicts =
        known.incarnation > reported.incarnation || (known.incarnation == reported.incarnation && refutable);
    return contradicts ? std::optional<Member>(known) : std::nullopt;
}

const MemberRecord *MemberTable::find(const NodeName &node) const
{
    const auto found = m_records.find(node);
    return found == m_records.end() ? nullptr : &found->second;
}

MemberRecord *MemberTable::find(const NodeName &node)
{
    const auto found = m_records.find(node);
    return found == m_records.end() ? nullptr : &found->second;
}

const std::vector<NodeName> &MemberTable::live() const
{
    if (m_cachedGeneration != m_generation) {
        m_live.clear();
        m_hash = 0;
        for (const auto &[node, record] : m_records) {
            if (isLive(record.member.state)) {
                m_live.push_back(node);
                m_hash ^= hashOf(record.member);
            }
        }
        m_cachedGeneration = m_generation;
    }
    return m_live;
}

std::uint64_t MemberTable::hashOf(const Member &member)
{
    // absl::Hash differs between processes, so it cannot be compared between nodes.
    std::uint64_t hash = FnvOffset;
    for (const char letter : member.node.value) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * FnvPrime;
    }
    hash = (hash ^ member.incarnation) * 0x9e3779b97f4a7c15ULL;
    return hash ^ (hash >> 29);
}

std::uint64_t MemberTable::hash() const
{
    static_cast<void>(live());
    return m_hash;
}

std::set<ServiceName> MemberTable::popChangedServices()
{
    return std::exchange(m_changedServices, {});
}

} // namespace vanillatack
