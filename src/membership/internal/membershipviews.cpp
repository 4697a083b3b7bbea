// Queries and notifications: instance lists, zones, share owners, targets for spreading documents.
#include "base/log.h"
#include "membership/internal/membership.h"
#include "membership/internal/membertransition.h"

#include <algorithm>

namespace vanillatack {

namespace {

constexpr Log MembershipLog("membership");

} // namespace

void Membership::notifyServiceChanges()
{
    std::set<ServiceName> services = m_state.table.popChangedServices();
    services.merge(m_state.changedServices);
    m_state.changedServices.clear();
    for (const ServiceName &service : services) {
        if (service.empty()) {
            continue;
        }
        std::vector<Member> instances = instancesOf(service);
        std::vector<Member> &reported = m_notifiedInstances[service];
        if (reported == instances) {
            continue;
        }
        reported = std::move(instances);
        m_listener.onServiceChanged(service, reported);
        if (reported.empty()) {
            m_notifiedInstances.erase(service);
        }
    }
    if (m_slotsCheckedGeneration != m_state.table.generation()) {
        m_slotsCheckedGeneration = m_state.table.generation();
        warnAboutDuplicateSlots();
    }
}

std::vector<Member> Membership::instancesOf(const ServiceName &service) const
{
    std::vector<Member> instances;
    for (const auto &[node, record] : m_state.table.records()) {
        if (record.member.service == service && isLive(record.member.state)) {
            instances.push_back(record.member);
        }
    }
    for (const auto &[zone, record] : m_state.zones.records()) {
        const auto found = record.content.services.find(service);
        if (record.contactsListed && found != record.content.services.end()) {
            instances.insert(instances.end(), found->second.contacts.begin(), found->second.contacts.end());
        }
    }
    return instances;
}

const Member &Membership::self() const
{
    return m_state.self;
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> members;
    for (const NodeName &node : m_state.table.live()) {
        members.push_back(m_state.table.find(node)->member);
    }
    return members;
}

std::vector<ZoneStatus> Membership::zones() const
{
    ZoneStatus own{m_state.self.zone, static_cast<int>(m_state.table.live().size()), m_state.versions, true, {}};
    if (const ZoneRecord *record = m_state.zones.find(m_state.self.zone); record && record->heartbeat > 0) {
        own.versions = record->versions;
    }
    std::vector<ZoneStatus> zones{own};
    for (const auto &[zone, record] : m_state.zones.records()) {
        if (zone == own.zone) {
            continue;
        }
        ZoneStatus status{zone, record.nodes, record.versions, false, Duration::max()};
        if (record.heartbeatReceivedAt) {
            status.heartbeatAge = m_state.clock.now() - *record.heartbeatReceivedAt;
            status.reachable = status.heartbeatAge <= m_state.settings.zoneTimeout;
        }
        zones.push_back(status);
    }
    return zones;
}

std::vector<Member> Membership::shareOwners() const
{
    std::vector<Member> owners;
    for (const NodeName &node : m_state.table.live()) {
        const Member &member = m_state.table.find(node)->member;
        if (member.shareSlot >= 0) {
            owners.push_back(member);
        }
    }
    for (const auto &[zone, record] : m_state.zones.records()) {
        if (record.contactsListed) {
            owners.insert(owners.end(), record.content.shareOwners.begin(), record.content.shareOwners.end());
        }
    }
    // The entries of a zone are sorted by node name, so of several holders of a slot the lowest name is kept.
    std::set<std::pair<ZoneName, int>> taken;
    std::erase_if(owners, [&](const Member &owner) {
        return !taken.insert({owner.zone, owner.shareSlot}).second;
    });
    return owners;
}

void Membership::warnAboutDuplicateSlots()
{
    std::map<int, const Member *> holders;
    std::set<int> duplicates;
    for (const NodeName &node : m_state.table.live()) {
        const Member &member = m_state.table.find(node)->member;
        if (member.shareSlot < 0) {
            continue;
        }
        const auto [holder, added] = holders.try_emplace(member.shareSlot, &member);
        if (!added && duplicates.insert(member.shareSlot).second
            && !m_reportedDuplicateSlots.contains(member.shareSlot)) {
            MembershipLog.warning("Two nodes of this zone have the same quota share slot; only the first owns it.",
                                  {{"slot", std::to_string(member.shareSlot)},
                                   {"first", holder->second->node.value},
                                   {"second", member.node.value},
                                   {"remedy", "Give each node of the zone a unique share_slot."}});
        }
    }
    m_reportedDuplicateSlots = std::move(duplicates);
}

std::vector<Endpoint> Membership::spreadTargets(std::size_t count)
{
    std::vector<Endpoint> targets;
    std::vector<const std::vector<Member> *> zones;
    for (const auto &[zone, record] : m_state.zones.records()) {
        if (zone != m_state.self.zone && !record.content.relays.empty()
            && m_exchange.isReachable(record, m_state.settings.zoneTimeout)) {
            zones.push_back(&record.content.relays);
        }
    }
    const std::vector<Member> members = m_state.randomMembers(count);
    // Up to half of the targets are relays of other zones, more if the own zone has few members.
    const std::size_t others = std::min(zones.size(), count - std::min(members.size(), (count + 1) / 2));
    for (std::size_t index = 0; index < std::min(members.size(), count - others); ++index) {
        targets.push_back(members[index].endpoint);
    }
    for (std::size_t taken = 0; taken < others; ++taken) {
        const std::size_t index = m_state.random.below(zones.size());
        const std::vector<Member> &relays = *zones[index];
        targets.push_back(relays[m_state.random.below(relays.size())].endpoint);
        zones.erase(zones.begin() + static_cast<std::ptrdiff_t>(index));
    }
    return targets;
}

bool Membership::isAmongFirstRelays(std::size_t count) const
{
    const std::vector<NodeName> lowest = m_state.relayNames(count);
    return std::ranges::find(lowest, m_state.self.node) != lowest.end();
}

std::optional<Duration> Membership::timeSinceOtherZoneMessage() const
{
    if (!m_state.otherZoneReceivedAt) {
        return std::nullopt;
    }
    return m_state.clock.now() - *m_state.otherZoneReceivedAt;
}

} // namespace vanillatack
