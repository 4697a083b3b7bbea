#include "membership/internal/zoneexchange.h"

#include "membership/internal/membertransition.h"

#include <algorithm>

namespace vanillatack {

namespace {

constexpr std::size_t ContactsPerService = 3;
constexpr std::size_t FellowRelays = 3;
constexpr Duration RequestInterval = std::chrono::milliseconds(300);
constexpr Duration IntroductionInterval = std::chrono::milliseconds(100);
// Low bits of a digest version that tell its maker. Two halves of a split zone that made different digests under one
// version never exchanged them and stayed split.
constexpr int VersionMakerBits = 16;

std::uint64_t toMs(Duration duration)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

ZoneExchange::ZoneExchange(LocalState &state)
    : m_state(state)
    , m_nextRelayTick(state.clock.now()
                      + Duration(static_cast<std::int64_t>(
                          state.random.below(static_cast<std::uint64_t>(state.settings.relayPeriod.count())))))
    , m_nextAnswer(state.clock.now())
{
}

void ZoneExchange::tick()
{
    const TimePoint now = m_state.clock.now();
    expireContacts();
    if (now >= m_nextRelayTick) {
        m_nextRelayTick = std::max(m_nextRelayTick + m_state.settings.relayPeriod, now);
        askForMissed();
        relayTick();
    }
    if (isFirstRelay()) {
        pollVersions();
    }
}

bool ZoneExchange::isFirstRelay() const
{
    const std::vector<NodeName> first = m_state.relayNames(1);
    return !first.empty() && first.front() == m_state.self.node;
}

bool ZoneExchange::isReachable(const ZoneRecord &record, Duration limit) const
{
    return record.heardAt && m_state.clock.now() - *record.heardAt <= limit;
}

void ZoneExchange::relayTick()
{
    const std::vector<NodeName> relays = m_state.relayNames(m_state.settings.relays);
    // A restarted relay knows few members at first; its digest would withdraw the contacts of the zone everywhere.
    if (!m_state.settled || std::ranges::find(relays, m_state.self.node) == relays.end()) {
        m_differsSince.reset();
        return;
    }
    ZoneRecord *own = m_state.zones.obtain(m_state.self.zone);
    if (!own) {
        return;
    }
    const bool first = relays.front() == m_state.self.node;
    refreshOwnDigest(*own, first);
    sendHeartbeats(*own, first);
}

void ZoneExchange::refreshOwnDigest(ZoneRecord &own, bool first)
{
    const TimePoint now = m_state.clock.now();
    if (m_summarizedGeneration != m_state.table.generation()) {
        m_summarizedGeneration = m_state.table.generation();
        ZoneContent summary = summarize();
        m_summaryChanged = m_summaryChanged || summary != m_summary;
        m_summary = std::move(summary);
    }
    if (m_summary == own.content && own.version > 0) {
        m_summaryChanged = false;
        m_differsSince.reset();
        return;
    }
    if (!m_differsSince) {
        m_differsSince = now;
    }
    if (!mayReplace(own, first)) {
        return;
    }
    m_summaryChanged = false;
    m_differsSince.reset();
    const std::uint64_t base = own.version;
    const std::uint64_t version = nextVersion(own.version);
    std::set<ServiceName> changed;
    ZoneTable::replaceContent(own, m_summary, version, changed);
    const ZoneDigest change = ZoneTable::contentSince(own, base, m_state.self.node);
    spread(change);
    for (const auto &[zone, record] : m_state.zones.records()) {
        if (zone == own.zone || record.content.relays.empty()) {
            continue;
        }
        const auto &relays = record.content.relays;
        m_state.sender.send(relays[m_state.random.below(relays.size())].endpoint, change);
    }
}

std::uint64_t ZoneExchange::nextVersion(std::uint64_t known) const
{
    const std::uint64_t maker = MemberTable::hashOf(m_state.self) & ((1ULL << VersionMakerBits) - 1);
    const std::uint64_t time = std::max(m_state.wallMs(), (known >> VersionMakerBits) + 1);
    return time << VersionMakerBits | maker;
}

bool ZoneExchange::mayReplace(const ZoneRecord &own, bool first)
{
    const Duration since = m_state.clock.now() - *m_differsSince;
    const bool firstIsSilent = !isReachable(own, m_state.settings.backupDelay);
    // The halves of a split zone must not replace each other's digest with every exchange.
    const bool persistent = since >= m_state.settings.disagreementDelay;
    if (first) {
        return m_summaryChanged || own.version == 0 || persistent;
    }
    return persistent || (firstIsSilent && since >= m_state.settings.backupDelay);
}

void ZoneExchange::sendHeartbeats(ZoneRecord &own, bool first)
{
    const bool stepIn = !first && !isReachable(own, m_state.settings.backupDelay);
    if (first || stepIn) {
        own.heartbeat = std::max(m_state.wallMs(), own.heartbeat + 1);
        own.versions = lowestVersions();
        own.nodes = static_cast<int>(m_state.table.live().size());
        own.heardAt = m_state.clock.now();
    }
    const ZoneDigest heartbeat = ZoneTable::heartbeatOf(own, m_state.self.node);
    if (first || stepIn) {
        for (const NodeName &node : m_state.relayNames(FellowRelays + 1)) {
            if (node != m_state.self.node) {
                m_state.sender.send(m_state.table.find(node)->member.endpoint, heartbeat);
            }
        }
        passHeartbeat(own, own.heartbeat);
    }
    std::vector<const Member *> targets;
    for (const auto &[zone, record] : m_state.zones.records()) {
        if (zone != own.zone && !record.content.relays.empty()) {
            const auto &relays = record.content.relays;
            targets.push_back(&relays[m_state.random.below(relays.size())]);
            // Four relays with half of the zones each per period suffice for a heartbeat every other period.
            if (m_state.random.below(2) == 0) {
                m_state.sender.send(targets.back()->endpoint, heartbeat);
            }
        }
    }
    // Pings carry this node's own document versions, which the lowest versions of the zone lag behind.
    for (int count = 0; count < m_state.settings.relayPings && !targets.empty(); ++count) {
        const std::size_t index = m_state.random.below(targets.size());
        m_state.sendPing(*targets[index], m_state.nextSequence());
        targets.erase(targets.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

ZoneContent ZoneExchange::summarize() const
{
    ZoneContent content;
    for (const auto &[node, record] : m_state.table.records()) {
        Member member = record.member;
        if (!isLive(member.state)) {
            continue;
        }
        if (member.state == MemberState::Suspect) {
            // Suspicions are short and mostly refuted; other zones wait for the verdict.
            member.state = MemberState::Alive;
        }
        if (member.shareSlot >= 0) {
            content.shareOwners.push_back(member);
        }
        if (member.service.empty() || member.state == MemberState::Draining) {
            continue;
        }
        ServiceSummary &summary = content.services[member.service];
        summary.service = member.service;
        ++summary.healthyInstances;
        if (summary.contacts.size() < ContactsPerService) {
            summary.contacts.push_back(member);
        }
    }
    for (const NodeName &node : m_state.relayNames(m_state.settings.relays)) {
        content.relays.push_back(m_state.table.find(node)->member);
        content.relays.back().state = MemberState::Alive;
    }
    return content;
}

StateVersions ZoneExchange::lowestVersions() const
{
    StateVersions lowest = m_state.versions;
    for (const NodeName &node : m_state.table.live()) {
        if (node == m_state.self.node) {
            continue;
        }
        // A member that was never heard directly counts as having nothing.
        const StateVersions known = m_state.table.find(node)->versions.value_or(StateVersions{});
        lowest.configVersion = std::min(lowest.configVersion, known.configVersion);
        lowest.keysVersion = std::min(lowest.keysVersion, known.keysVersion);
        if (known.withdrawalCount < lowest.withdrawalCount
            || (known.withdrawalCount == lowest.withdrawalCount && known.withdrawalHash < lowest.withdrawalHash)) {
            lowest.withdrawalCount = known.withdrawalCount;
            lowest.withdrawalHash = known.withdrawalHash;
        }
    }
    return lowest;
}

void ZoneExchange::pollVersions()
{
    // Probes alone take about a minute to visit 200 members; a new version should be confirmed within seconds.
    const TimePoint now = m_state.clock.now();
    const std::vector<NodeName> &live = m_state.table.live();
    auto next = m_lastPolled ? std::ranges::upper_bound(live, *m_lastPolled) : live.begin();
    int sent = 0;
    for (std::size_t visited = 0; visited < live.size() && sent < m_state.settings.versionPollsPerTick; ++visited) {
        if (next == live.end()) {
            next = live.begin();
        }
        const NodeName &node = *next++;
        MemberRecord *record = m_state.table.find(node);
        const bool known = record->versions && *record->versions == m_state.versions;
        if (node != m_state.self.node && !known && now - record->polledAt >= m_state.settings.versionPollPeriod) {
            record->polledAt = now;
            m_state.sendPing(record->member, m_state.nextSequence());
            m_lastPolled = node;
            ++sent;
        }
    }
}

void ZoneExchange::askForMissed()
{
    const std::vector<NodeName> relays = m_state.relayNames(m_state.settings.relays);
    for (auto &[zone, record] : m_state.zones.records()) {
        if (isReachable(record, m_state.settings.heartbeatMissed) || record.askedHeartbeat == record.heartbeat) {
            continue;
        }
        const NodeName &relay = relays[m_state.random.below(relays.size())];
        if (relay == m_state.self.node) {
            continue;
        }
        // Once per missed heartbeat: a zone that is really gone must not cause requests all the time.
        record.askedHeartbeat = record.heartbeat;
        ZoneDigest request = ZoneTable::heartbeatOf(record, m_state.self.node);
        request.replyWanted = true;
        m_state.sender.send(m_state.table.find(relay)->member.endpoint, request);
    }
}

void ZoneExchange::expireContacts()
{
    for (auto &[zone, record] : m_state.zones.records()) {
        const bool listed = zone != m_state.self.zone && isReachable(record, m_state.settings.contactExpiry);
        if (listed != record.contactsListed) {
            record.contactsListed = listed;
            for (const auto &[service, summary] : record.content.services) {
                m_state.changedServices.insert(service);
            }
        }
    }
}

void ZoneExchange::receive(const Endpoint &from, const ZoneDigest &message)
{
    const Endpoint sender = endpointOf(message.sender, message.zone, from);
    if (message.replyWanted) {
        answerRequest(sender, message);
        return;
    }
    ZoneRecord *record = m_state.zones.obtain(message.zone);
    if (!record) {
        return;
    }
    const TimePoint now = m_state.clock.now();
    const bool newer = ZoneTable::applyHeartbeat(*record, message, now);
    if (newer && message.zone != m_state.self.zone) {
        m_state.otherZoneHeardAt = now;
    }
    std::set<ServiceName> changed;
    const ContentResult content = ZoneTable::applyContent(*record, message, changed);
    if (content == ContentResult::Missing) {
        requestContent(*record, sender);
    }
    if (content == ContentResult::Applied) {
        m_state.changedServices.insert(changed.begin(), changed.end());
        contactStrangers(*record);
        ZoneDigest passedOn = message;
        passedOn.sender = m_state.self.node;
        // Whole digests are large; those who miss one ask for it after the next heartbeat.
        spread(formOf(message) == DigestForm::Change ? passedOn : freshHeartbeat(*record));
    }
    if (formOf(message) == DigestForm::Heartbeat) {
        passHeartbeat(*record, message.heartbeat);
    }
    if (message.version < record->version && message.heartbeat > 0 && now >= m_nextAnswer) {
        // The sender lags behind, for example a relay of a replaced zone; it asks for the content when it sees this.
        m_nextAnswer = now + IntroductionInterval;
        m_state.sender.send(sender, freshHeartbeat(*record));
    }
}

void ZoneExchange::contactStrangers(const ZoneRecord &record)
{
    const std::vector<NodeName> own = m_state.relayNames(m_state.settings.relays);
    if (record.zone != m_state.self.zone || std::ranges::find(own, m_state.self.node) == own.end()) {
        return;
    }
    // Unknown relays of the own zone belong to another part of it. This digest is soon replaced by that of the own
    // part, so that the slower contact of seeds may never see them.
    for (const Member &relay : record.content.relays) {
        if (!m_state.table.isLiveEndpoint(relay.endpoint)) {
            m_state.sendPing(relay, m_state.nextSequence());
        }
    }
}

ZoneDigest ZoneExchange::freshHeartbeat(const ZoneRecord &record) const
{
    ZoneDigest digest = ZoneTable::heartbeatOf(record, m_state.self.node);
    if (!isReachable(record, m_state.settings.heartbeatMissed)) {
        // The receiver must not take an old heartbeat for a sign of life.
        digest.heartbeat = 0;
    }
    return digest;
}

void ZoneExchange::answerRequest(const Endpoint &to, const ZoneDigest &request)
{
    const ZoneRecord *record = m_state.zones.find(request.zone);
    if (!record) {
        return;
    }
    ZoneDigest answer = freshHeartbeat(*record);
    if (record->version > request.version) {
        const std::uint64_t heartbeat = answer.heartbeat;
        answer = ZoneTable::contentSince(*record, request.version, m_state.self.node);
        answer.heartbeat = heartbeat;
    } else if (answer.heartbeat <= request.heartbeat) {
        return;
    }
    m_state.sender.send(to, answer);
}

void ZoneExchange::requestContent(ZoneRecord &record, const Endpoint &from)
{
    const TimePoint now = m_state.clock.now();
    if (now - record.askedAt < RequestInterval) {
        return;
    }
    record.askedAt = now;
    ZoneDigest request = ZoneTable::heartbeatOf(record, m_state.self.node);
    request.replyWanted = true;
    m_state.sender.send(from, request);
}

void ZoneExchange::spread(const ZoneDigest &digest)
{
    for (const Member &peer : m_state.randomPeers(static_cast<std::size_t>(m_state.settings.digestFanout))) {
        m_state.sender.send(peer.endpoint, digest);
    }
}

void ZoneExchange::passHeartbeat(ZoneRecord &record, std::uint64_t heartbeat)
{
    if (heartbeat < record.spreadHeartbeat + toMs(m_state.settings.heartbeatSpread) || heartbeat < record.heartbeat) {
        return;
    }
    record.spreadHeartbeat = heartbeat;
    // A tree over the sorted members whose root moves with the heartbeat: every node gets one copy, where random
    // targets would cost three. Who misses it because a node above is gone asks a relay.
    const std::vector<NodeName> &live = m_state.table.live();
    const auto fanout = static_cast<std::size_t>(m_state.settings.digestFanout);
    const std::size_t root = heartbeat / toMs(m_state.settings.heartbeatSpread) % live.size();
    const auto own = static_cast<std::size_t>(std::ranges::lower_bound(live, m_state.self.node) - live.begin());
    const std::size_t position = (own + live.size() - root) % live.size();
    const ZoneDigest digest = ZoneTable::heartbeatOf(record, m_state.self.node);
    const auto sendTo = [&](std::size_t place) {
        const NodeName &node = live[(root + place) % live.size()];
        m_state.sender.send(m_state.table.find(node)->member.endpoint, digest);
    };
    for (std::size_t child = position * fanout + 1; child <= (position + 1) * fanout && child < live.size(); ++child) {
        sendTo(child);
    }
    // Heartbeats enter the zone at a relay, which need not be the root.
    const std::vector<NodeName> relays = m_state.relayNames(m_state.settings.relays);
    if (position != 0 && std::ranges::find(relays, m_state.self.node) != relays.end()) {
        sendTo(0);
    }
}

void ZoneExchange::introduceZones(const Member &node)
{
    const TimePoint now = m_state.clock.now();
    const ZoneRecord *known = m_state.zones.find(node.zone);
    const bool isRelay =
        known && std::ranges::find(known->content.relays, node.node, &Member::node) != known->content.relays.end();
    if (isRelay || now < m_nextAnswer) {
        return;
    }
    m_nextAnswer = now + IntroductionInterval;
    for (const auto &[zone, record] : m_state.zones.records()) {
        if (record.version > 0) {
            m_state.sender.send(node.endpoint, freshHeartbeat(record));
        }
    }
}

Endpoint ZoneExchange::endpointOf(const NodeName &sender, const ZoneName &zone, const Endpoint &fallback) const
{
    if (const MemberRecord *record = m_state.table.find(sender)) {
        return record->member.endpoint;
    }
    if (const ZoneRecord *record = m_state.zones.find(zone)) {
        const auto &relays = record->content.relays;
        const auto relay = std::ranges::find(relays, sender, &Member::node);
        if (relay != relays.end()) {
            return relay->endpoint;
        }
    }
    return fallback;
}

} // namespace vanillatack
