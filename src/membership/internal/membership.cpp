#include "membership/internal/membership.h"

#include "base/inidocument.h"
#include "base/log.h"
#include "membership/internal/membertransition.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace vanillatack {

namespace {

constexpr Log MembershipLog("membership");

constexpr std::size_t MaxSeeds = 64;
constexpr std::size_t SeedsKeptForRejoin = 8;
constexpr std::size_t ContactsWhileAlone = 3;
constexpr std::size_t LeaveFanout = 8;
constexpr Duration JoinSyncInterval = std::chrono::milliseconds(200);

} // namespace

std::unique_ptr<IMembership> makeMembership(IClock &clock,
                                            IRandom &random,
                                            IMessageSender &sender,
                                            IMembershipListener &listener,
                                            const SelfDescription &self,
                                            const MembershipSettings &settings)
{
    return std::make_unique<Membership>(clock, random, sender, listener, self, settings);
}

Membership::Membership(IClock &clock,
                       IRandom &random,
                       IMessageSender &sender,
                       IMembershipListener &listener,
                       const SelfDescription &self,
                       const MembershipSettings &settings)
    : m_state(clock, random, sender, self, settings)
    , m_listener(listener)
    , m_prober(m_state)
    , m_exchange(m_state)
    , m_startedAt(clock.now())
    , m_lastTick(clock.now())
    , m_nextGossip(clock.now())
    , m_nextContact(clock.now())
    , m_lastHashMatch(clock.now())
    , m_nextSync(clock.now())
{
    addSeeds(self.seeds);
}

void Membership::tick()
{
    const TimePoint now = m_state.clock.now();
    const Duration gap = now - m_lastTick;
    m_lastTick = now;
    if (m_stopReason != StopReason::None) {
        return;
    }
    if (gap > m_state.settings.pauseThreshold) {
        resumeAfterPause(gap);
    }
    m_prober.tick();
    m_state.table.expire(now);
    gossip();
    contactNonMembers();
    m_state.settled = m_state.settled || now - m_startedAt >= m_state.settings.settleTime;
    m_exchange.tick();
    notifyServiceChanges();
}

void Membership::resumeAfterPause(Duration gap)
{
    // Acks missed during the pause say nothing about the state of other members.
    m_prober.cancelProbe();
    m_state.table.extendSuspicions(gap);
    m_lastHashMatch = m_state.clock.now();
    if (gap > m_state.settings.rejoinThreshold) {
        // Other nodes may have replaced and removed members during the pause, so this table must not be shared.
        MembershipLog.warning("This process was paused for too long; it discards its member table and joins again.",
                              {{"pause", formatDuration(gap)}});
        for (const Member &member : m_state.randomMembers(SeedsKeptForRejoin)) {
            addSeeds({member.endpoint});
        }
        m_state.table.removeOthers();
        m_state.settled = false;
        m_startedAt = m_state.clock.now();
        m_nextContact = m_state.clock.now();
    }
}

void Membership::gossip()
{
    const TimePoint now = m_state.clock.now();
    if (now < m_nextGossip || !m_state.table.hasUpdates()) {
        return;
    }
    m_nextGossip = now + m_state.settings.gossipPeriod;
    for (const Member &member : m_state.randomMembers(static_cast<std::size_t>(m_state.settings.gossipFanout))) {
        const Ack message = m_state.makeAck(0, member, m_state.settings.gossipBytes);
        if (!message.updates.empty()) {
            m_state.sender.send(member.endpoint, message);
        }
    }
}

void Membership::contactNonMembers()
{
    const TimePoint now = m_state.clock.now();
    if (now < m_nextContact) {
        return;
    }
    const bool alone = m_state.table.live().size() == 1;
    m_nextContact = now + (alone ? m_state.settings.firstContactPeriod : m_state.settings.recontactPeriod);
    // Each side of a partitioned zone has its own relays, so contact by relays suffices and limits the load on seeds.
    if (!alone && !isAmongFirstRelays(m_state.settings.relays)) {
        return;
    }
    std::vector<Member> candidates = contactCandidates();
    for (std::size_t count = 0; count < (alone ? ContactsWhileAlone : 1) && !candidates.empty(); ++count) {
        const std::size_t index = m_state.random.below(candidates.size());
        m_state.sendPing(candidates[index], m_state.nextSequence());
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

std::vector<Member> Membership::contactCandidates() const
{
    std::vector<Member> candidates;
    absl::flat_hash_set<Endpoint> known{m_state.self.endpoint};
    const auto add = [&](const Member &member) {
        if (!m_state.table.isLiveEndpoint(member.endpoint) && known.insert(member.endpoint).second) {
            candidates.push_back(member);
        }
    };
    for (const auto &[zone, record] : m_state.zones.records()) {
        const bool reachable = m_exchange.isReachable(record, m_state.settings.zoneTimeout);
        for (const Member &relay : record.content.relays) {
            if (reachable && zone != m_state.self.zone) {
                known.insert(relay.endpoint);
            } else {
                add(relay);
            }
        }
    }
    for (const auto &[node, record] : m_state.table.records()) {
        if (record.member.state == MemberState::Dead) {
            add(record.member);
        }
    }
    for (const Endpoint &seed : m_seeds) {
        Member unknown;
        unknown.endpoint = seed;
        add(unknown);
    }
    return candidates;
}

void Membership::receive(const Endpoint & /*from*/, const Ping &message)
{
    if (m_stopReason != StopReason::None) {
        return;
    }
    const bool sameZone = message.self.zone == m_state.self.zone;
    const MemberRecord *known = m_state.table.find(message.self.node);
    const bool joins = sameZone && (!known || !isLive(known->member.state));
    handleDirectMessage(message.self, message.updates, message.versions);
    if (m_stopReason != StopReason::None) {
        return;
    }
    const Member receiver = message.self;
    m_state.sender.send(receiver.endpoint, m_state.makeAck(message.sequence, receiver, m_state.settings.probeBytes));
    if (!sameZone) {
        m_exchange.sendKnownZones(receiver);
        return;
    }
    compareHash(receiver, message.memberHash);
    if (joins && m_state.clock.now() >= m_nextSync) {
        m_nextSync = m_state.clock.now() + JoinSyncInterval;
        sendSync(receiver.endpoint, true);
    }
}

void Membership::receive(const Endpoint & /*from*/, const PingIndirect &message)
{
    if (m_stopReason == StopReason::None) {
        mergeReport(message.self);
        m_prober.onPingIndirect(message);
    }
}

void Membership::receive(const Endpoint & /*from*/, const Ack &message)
{
    if (m_stopReason != StopReason::None) {
        return;
    }
    handleDirectMessage(message.self, message.updates, message.versions);
    m_prober.onAck(message);
    if (message.self.zone == m_state.self.zone) {
        compareHash(message.self, message.memberHash);
    }
}

void Membership::receive(const Endpoint &from, const MemberSync &message)
{
    if (m_stopReason != StopReason::None) {
        return;
    }
    for (const Member &member : message.members) {
        mergeReport(member);
        const MemberRecord *record = m_state.table.find(member.node);
        if (record && isLive(member.state) && record->member.state == MemberState::Dead
            && member.incarnation == record->member.incarnation) {
            m_state.queueVerification(member.node);
        }
    }
    if (message.replyWanted) {
        const MemberRecord *sender = m_state.table.find(message.sender);
        sendSync(sender ? sender->member.endpoint : from, false);
    }
}

void Membership::receive(const Endpoint &from, const ZoneDigest &message)
{
    if (m_stopReason == StopReason::None) {
        m_exchange.receive(from, message);
    }
}

void Membership::handleDirectMessage(const Member &sender,
                                     const std::vector<Member> &updates,
                                     const StateVersions &versions)
{
    if (sender.zone != m_state.self.zone && sender.node != m_state.self.node) {
        m_state.otherZoneReceivedAt = m_state.clock.now();
    }
    mergeReport(sender);
    for (const Member &update : updates) {
        mergeReport(update);
    }
    MemberRecord *record = m_state.table.find(sender.node);
    if (record && record->member.incarnation == sender.incarnation) {
        record->versions = versions;
    }
    if (versions != m_state.versions && sender.node != m_state.self.node) {
        m_listener.onPeerVersions(sender.endpoint, versions);
    }
}

void Membership::mergeReport(const Member &reported)
{
    if (reported.node == m_state.self.node) {
        refute(reported);
    } else {
        m_state.table.merge(reported, m_state.clock.now());
    }
}

void Membership::refute(const Member &reported)
{
    Member &self = m_state.self;
    const auto order = compareIncarnations(reported.incarnation, self.incarnation);
    if (order == IncarnationOrder::Older) {
        return;
    }
    const bool live = reported.state == MemberState::Alive || reported.state == MemberState::Draining;
    if (order == IncarnationOrder::Same && live) {
        return;
    }
    if (order == IncarnationOrder::Newer && isLive(reported.state) && reported.endpoint != self.endpoint) {
        MembershipLog.error(
            "Another node runs under this name with a higher incarnation; this node stops its membership messages.",
            {{"node", self.node.value},
             {"other", reported.endpoint.text()},
             {"remedy", "Stop this process, or give it a unique name and restart it."}});
        m_stopReason = StopReason::Superseded;
        self.state = MemberState::Left;
        return;
    }
    // A higher incarnation at this address comes from an earlier process whose clock was ahead.
    self.incarnation = reported.incarnation;
    bumpIncarnation();
}

void Membership::bumpIncarnation()
{
    ++m_state.self.incarnation;
    m_state.table.setSelf(m_state.self, m_state.clock.now());
}

void Membership::compareHash(const Member &sender, std::uint64_t hash)
{
    const TimePoint now = m_state.clock.now();
    if (hash == m_state.table.hash()) {
        m_lastHashMatch = now;
        m_state.settled = true;
        return;
    }
    if (now - m_lastHashMatch < m_state.settings.syncDelay || now < m_nextSync) {
        return;
    }
    const auto interval = static_cast<std::uint64_t>(m_state.settings.syncInterval.count());
    m_nextSync = now + Duration(static_cast<std::int64_t>(interval / 2 + m_state.random.below(interval)));
    sendSync(sender.endpoint, true);
}

void Membership::sendSync(const Endpoint &to, bool replyWanted)
{
    MemberSync sync{m_state.self.node, replyWanted, {}};
    for (const NodeName &node : m_state.table.live()) {
        sync.members.push_back(m_state.table.find(node)->member);
    }
    m_state.sender.send(to, sync);
}

void Membership::setUpstream(const ServiceName &service, int slots, bool cold)
{
    Member &self = m_state.self;
    if (self.service == service && self.slots == slots && self.cold == cold) {
        return;
    }
    self.service = service;
    self.slots = slots;
    self.cold = cold;
    if (m_stopReason == StopReason::None) {
        bumpIncarnation();
    }
}

void Membership::setDraining(bool draining)
{
    const MemberState wanted = draining ? MemberState::Draining : MemberState::Alive;
    if (m_stopReason == StopReason::None && m_state.self.state != wanted) {
        m_state.self.state = wanted;
        bumpIncarnation();
    }
}

void Membership::leave()
{
    if (m_stopReason != StopReason::None) {
        return;
    }
    const std::vector<Member> members = m_state.randomMembers(LeaveFanout);
    m_state.self.state = MemberState::Left;
    bumpIncarnation();
    for (const Member &member : members) {
        m_state.sender.send(member.endpoint, m_state.makeAck(0, member, m_state.settings.gossipBytes));
    }
    m_stopReason = StopReason::Left;
}

void Membership::setVersions(const StateVersions &versions)
{
    m_state.versions = versions;
}

void Membership::addSeeds(const std::vector<Endpoint> &seeds)
{
    for (const Endpoint &seed : seeds) {
        if (std::ranges::find(m_seeds, seed) != m_seeds.end()) {
            continue;
        }
        if (m_seeds.size() >= MaxSeeds) {
            // The first half, which holds the seeds of the settings, is kept; others are replaced at random.
            m_seeds[MaxSeeds / 2 + m_state.random.below(MaxSeeds / 2)] = seed;
        } else {
            m_seeds.push_back(seed);
        }
    }
}

} // namespace vanillatack
