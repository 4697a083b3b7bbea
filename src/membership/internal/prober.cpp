#include "membership/internal/prober.h"

#include "membership/internal/membertransition.h"

#include <algorithm>

namespace vanillatack {

namespace {

constexpr std::size_t MaxDelegatedProbes = 256;
constexpr int VerificationsPerTick = 2;

} // namespace

Prober::Prober(LocalState &state)
    : m_state(state)
    // A random offset spreads the probes of nodes that start at the same time.
    , m_nextProbe(state.clock.now()
                  + Duration(static_cast<std::int64_t>(
                      state.random.below(static_cast<std::uint64_t>(state.settings.probePeriod.count())))))
{
}

void Prober::tick()
{
    const TimePoint now = m_state.clock.now();
    std::erase_if(m_delegatedProbes, [&](const DelegatedProbe &probe) {
        return now - probe.sentAt > m_state.settings.probePeriod;
    });
    verifyDead();
    if (m_probe && !m_probe->indirectSent && now - m_probe->sentAt >= m_state.settings.ackTimeout) {
        probeIndirectly();
    }
    if (now < m_nextProbe) {
        return;
    }
    if (m_probe) {
        const MemberRecord *record = m_state.table.find(m_probe->target);
        // A higher incarnation since the ping proves that the target is alive.
        if (record && record->member.incarnation == m_probe->incarnation) {
            m_state.table.suspect(m_probe->target, now);
            // The ping carries the suspicion, so that a target that still receives can refute at once.
            m_state.sendPing(record->member, m_state.nextSequence());
        }
        m_probe.reset();
    }
    startProbe();
    m_nextProbe = std::max(m_nextProbe + m_state.settings.probePeriod, now);
}

void Prober::cancelProbe()
{
    m_probe.reset();
    m_delegatedProbes.clear();
    m_nextProbe = m_state.clock.now();
}

void Prober::startProbe()
{
    const auto target = nextTarget();
    if (!target) {
        return;
    }
    const Member &member = m_state.table.find(*target)->member;
    m_probe = Probe{m_state.nextSequence(), *target, member.incarnation, m_state.clock.now(), false};
    m_state.sendPing(member, m_probe->sequence);
}

std::optional<NodeName> Prober::nextTarget()
{
    // Each round probes all members once in a new random order, which bounds the time until a dead member is probed.
    for (int round = 0; round < 2; ++round) {
        while (!m_probeOrder.empty()) {
            const NodeName node = m_probeOrder.back();
            m_probeOrder.pop_back();
            const MemberRecord *record = m_state.table.find(node);
            if (record && isLive(record->member.state) && node != m_state.self.node) {
                return node;
            }
        }
        m_probeOrder = m_state.table.live();
        for (std::size_t index = m_probeOrder.size(); index > 1; --index) {
            std::swap(m_probeOrder[index - 1], m_probeOrder[m_state.random.below(index)]);
        }
    }
    return std::nullopt;
}

void Prober::probeIndirectly()
{
    m_probe->indirectSent = true;
    const MemberRecord *record = m_state.table.find(m_probe->target);
    if (!record || !isLive(record->member.state)) {
        m_probe.reset();
        return;
    }
    const PingIndirect request{m_probe->sequence, m_state.self, m_probe->target, record->member.endpoint};
    for (const Member &helper : m_state.randomMembers(static_cast<std::size_t>(m_state.settings.indirectProbes) + 1)) {
        if (helper.node != m_probe->target) {
            m_state.sender.send(helper.endpoint, request);
        }
    }
}

void Prober::onAck(const Ack &message)
{
    if (m_probe && message.sequence == m_probe->sequence) {
        // An ack of another node at this address or of an earlier incarnation does not prove that the target lives.
        if (message.self.node == m_probe->target && message.self.incarnation >= m_probe->incarnation) {
            m_probe.reset();
        }
        return;
    }
    const auto delegated = std::ranges::find(m_delegatedProbes, message.sequence, &DelegatedProbe::sequence);
    if (delegated != m_delegatedProbes.end()) {
        Ack forwarded = message;
        forwarded.sequence = delegated->originSequence;
        m_state.sender.send(delegated->origin, forwarded);
        m_delegatedProbes.erase(delegated);
    }
}

void Prober::onPingIndirect(const PingIndirect &message)
{
    if (m_delegatedProbes.size() >= MaxDelegatedProbes) {
        return;
    }
    const MemberRecord *record = m_state.table.find(message.target);
    Member target;
    target.node = message.target;
    target.zone = m_state.self.zone;
    if (record) {
        target = record->member;
    }
    target.endpoint = message.targetEndpoint;
    const std::uint64_t sequence = m_state.nextSequence();
    m_delegatedProbes.push_back({sequence, message.sequence, message.self.endpoint, m_state.clock.now()});
    m_state.sendPing(target, sequence);
}

void Prober::verifyDead()
{
    const TimePoint now = m_state.clock.now();
    std::erase_if(m_verifications, [&](const Verification &verification) {
        if (now - verification.sentAt < m_state.settings.suspicionTimeout) {
            return false;
        }
        // Not refuted in time: the members that report it alive missed the dead update.
        m_state.table.rebroadcastDead(verification.target, verification.incarnation);
        return true;
    });
    for (int count = 0; count < VerificationsPerTick && !m_state.verificationQueue.empty(); ++count) {
        const MemberRecord *record = m_state.table.find(m_state.verificationQueue.front());
        m_state.verificationQueue.pop_front();
        if (record && record->member.state == MemberState::Dead) {
            m_verifications.push_back({record->member.node, record->member.incarnation, now});
            m_state.sendPing(record->member, m_state.nextSequence());
        }
    }
}

} // namespace vanillatack
