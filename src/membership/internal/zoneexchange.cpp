#include "membership/internal/zoneexchange.h"

#include "membership/internal/membertransition.h"

#include <algorithm>

namespace vanillatack {

namespace {

constexpr std::size_t ContactsPerService = 3;
constexpr std::size_t OtherRelays = 3; // Other relays of the own zone that get each heartbeat directly.
// Minimum interval between content requests for one zone.
constexpr Duration RequestInterval = std::chrono::milliseconds(300);
// Minimum interval between answers of this node to nodes with older content and to nodes not known as relays.
constexpr Duration AnswerInterval = std::chrono::milliseconds(100);
// Low bits of a digest version that identify its creator. Without them the two sides of a partitioned zone could create
// different digests with the same version, never exchange them and stay partitioned.
constexpr int VersionOriginBits = 16;

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
        requestMissedHeartbeats();
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
    return record.heartbeatReceivedAt && m_state.clock.now() - *record.heartbeatReceivedAt <= limit;
}

void ZoneExchange::relayTick()
{
    const std::vector<NodeName> relays = m_state.relayNames(m_state.settings.relays);
    // A restarted relay knows few members at first; its digest would remove the zone's contacts from the instance
    // lists of all other zones.
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
    const std::uint64_t origin = MemberTable::hashOf(m_state.self) & ((1ULL << VersionOriginBits) - 1);
    const std::uint64_t time = std::max(m_state.wallMs(), (known >> VersionOriginBits) + 1);
    return time << VersionOriginBits | origin;
}

bool ZoneExchange::mayReplace(const ZoneRecord &own, bool first)
{
    const Duration since = m_state.clock.now() - *m_differsSince;
    const bool firstUnresponsive = !isReachable(own, m_state.settings.backupDelay);
    // The two sides of a partitioned zone must not replace each other's digest on every exchange.
    const bool persistent = since >= m_state.settings.disagreementDelay;
    if (first) {
        return m_summaryChanged || own.version == 0 || persistent;
    }
    return persistent || (firstUnresponsive && since >= m_state.settings.backupDelay);
}

void ZoneExchange::sendHeartbeats(ZoneRecord &own, bool first)
{
    const bool takesOver = !first && !isReachable(own, m_state.settings.backupDelay);
    if (first || takesOver) {
        own.heartbeat = std::max(m_state.wallMs(), own.heartbeat + 1);
        own.versions = lowestVersions();
        own.nodes = static_cast<int>(m_state.table.live().size());
        own.heartbeatReceivedAt = m_state.clock.now();
    }
    const ZoneDigest heartbeat = ZoneTable::heartbeatOf(own, m_state.self.node);
    if (first || takesOver) {
        for (const NodeName &node : m_state.relayNames(OtherRelays + 1)) {
            if (node != m_state.self.node) {
                m_state.sender.send(m_state.table.find(node)->member.endpoint, heartbeat);
            }
        }
        forwardHeartbeat(own, own.heartbeat);
    }
    std::vector<const Member *> targets;
    for (const auto &[zone, record] : m_state.zones.records()) {
        if (zone != own.zone && !record.content.relays.empty()) {
            const auto &relays = record.content.relays;
            targets.push_back(&relays[m_state.random.below(relays.size())]);
            // Each relay sends to a random half of the zones per period. With four relays, a zone almost always gets a
            // heartbeat within two periods.
            if (m_state.random.below(2) == 0) {
                m_state.sender.send(targets.back()->endpoint, heartbeat);
            }
        }
    }
    // Pings carry this node's own document versions; the lowest versions of the zone in heartbeats lag behind them.
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
            // Suspicions are short and mostly refuted, so they are not published to other zones.
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
        // A member without a direct message so far counts as having no documents.
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
    // Regular probes take about a minute to reach 200 members; a new version should be confirmed within seconds.
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

void ZoneExchange::requestMissedHeartbeats()
{
    const std::vector<NodeName> relays = m_state.relayNames(m_state.settings.relays);
    for (auto &[zone, record] : m_state.zones.records()) {
        if (isReachable(record, m_state.settings.heartbeatTimeout)
            || record.requestedAfterHeartbeat == record.heartbeat) {
            continue;
        }
        const NodeName &relay = relays[m_state.random.below(relays.size())];
        if (relay == m_state.self.node) {
            continue;
        }
        // Only once per missed heartbeat, so that an unreachable zone does not cause continuous requests.
        record.requestedAfterHeartbeat = record.heartbeat;
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
        m_state.otherZoneReceivedAt = now;
    }
    std::set<ServiceName> changed;
    const ContentResult content = ZoneTable::applyContent(*record, message, changed);
    if (content == ContentResult::RequestNeeded) {
        requestContent(*record, sender);
    }
    if (content == ContentResult::Applied) {
        m_state.changedServices.insert(changed.begin(), changed.end());
        contactUnknownRelays(*record);
        ZoneDigest forwarded = message;
        forwarded.sender = m_state.self.node;
        // Full digests are large, so only a heartbeat is spread; nodes that lack the content request it.
        spread(formOf(message) == DigestForm::Delta ? forwarded : freshHeartbeat(*record));
    }
    if (formOf(message) == DigestForm::Heartbeat) {
        forwardHeartbeat(*record, message.heartbeat);
    }
    if (message.version < record->version && message.heartbeat > 0 && now >= m_nextAnswer) {
        // The sender has older content, e.g. because all nodes of its zone were replaced; the heartbeat makes it
        // request the newer.
        m_nextAnswer = now + AnswerInterval;
        m_state.sender.send(sender, freshHeartbeat(*record));
    }
}

void ZoneExchange::contactUnknownRelays(const ZoneRecord &record)
{
    const std::vector<NodeName> own = m_state.relayNames(m_state.settings.relays);
    if (record.zone != m_state.self.zone || std::ranges::find(own, m_state.self.node) == own.end()) {
        return;
    }
    // Unknown relays of the own zone belong to another partition. The digest of the own partition soon replaces this
    // one, so the slower seed contacts may never see them.
    for (const Member &relay : record.content.relays) {
        if (!m_state.table.isLiveEndpoint(relay.endpoint)) {
            m_state.sendPing(relay, m_state.nextSequence());
        }
    }
}

ZoneDigest ZoneExchange::freshHeartbeat(const ZoneRecord &record) const
{
    ZoneDigest digest = ZoneTable::heartbeatOf(record, m_state.self.node);
    if (!isReachable(record, m_state.settings.heartbeatTimeout)) {
        // The receiver must not consider the zone reachable because of an old heartbeat.
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
    if (now - record.contentRequestedAt < RequestInterval) {
        return;
    }
    record.contentRequestedAt = now;
    ZoneDigest request = ZoneTable::heartbeatOf(record, m_state.self.node);
    request.replyWanted = true;
    m_state.sender.send(from, request);
}

void ZoneExchange::spread(const ZoneDigest &digest)
{
    for (const Member &member : m_state.randomMembers(static_cast<std::size_t>(m_state.settings.digestFanout))) {
        m_state.sender.send(member.endpoint, digest);
    }
}

void ZoneExchange::forwardHeartbeat(ZoneRecord &record, std::uint64_t heartbeat)
{
    if (heartbeat < record.spreadHeartbeat + toMs(m_state.settings.heartbeatInterval) || heartbeat < record.heartbeat) {
        return;
    }
    record.spreadHeartbeat = heartbeat;
    // Spreads along a tree over the sorted members whose root rotates with the heartbeat: each node receives one copy,
    // where random targets would cost three. Nodes below a failed node request the heartbeat from a relay.
    const std::vector<NodeName> &live = m_state.table.live();
    const auto fanout = static_cast<std::size_t>(m_state.settings.digestFanout);
    const std::size_t root = heartbeat / toMs(m_state.settings.heartbeatInterval) % live.size();
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
    // A heartbeat enters the zone at a relay, which sends it to the root unless it is the root itself.
    const std::vector<NodeName> relays = m_state.relayNames(m_state.settings.relays);
    if (position != 0 && std::ranges::find(relays, m_state.self.node) != relays.end()) {
        sendTo(0);
    }
}

void ZoneExchange::sendKnownZones(const Member &node)
{
    const TimePoint now = m_state.clock.now();
    const ZoneRecord *known = m_state.zones.find(node.zone);
    const bool isRelay =
        known && std::ranges::find(known->content.relays, node.node, &Member::node) != known->content.relays.end();
    if (isRelay || now < m_nextAnswer) {
        return;
    }
    m_nextAnswer = now + AnswerInterval;
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
