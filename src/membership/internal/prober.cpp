#include "membership/internal/prober.h"

#include "membership/internal/membertransition.h"

#include <algorithm>

namespace vanillatack {

namespace {

constexpr std::size_t MaxForwards = 256;
constexpr int VerificationsPerTick = 2;

} // namespace

Prober::Prober(LocalState &state)
    : m_state(state)
    // Spreads the probes of nodes that start together.
    , m_nextProbe(state.clock.now()
                  + Duration(static_cast<std::int64_t>(
                      state.random.below(static_cast<std::uint64_t>(state.settings.probePeriod.count())))))
{
}

void Prober::tick()
{
    const TimePoint now = m_state.clock.now();
    std::erase_if(m_forwards, [&](const Forward &forward) {
        return now - forward.sentAt > m_state.settings.probePeriod;
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
        // A higher incarnation in the meantime is a sign of life.
        if (record && record->member.incarnation == m_probe->incarnation) {
            m_state.table.suspect(m_probe->target, now);
            // The target may still hear this node; it should refute as soon as possible.
            m_state.sendPing(record->member, m_state.nextSequence());
        }
        m_probe.reset();
    }
    startProbe();
    m_nextProbe = std::max(m_nextProbe + m_state.settings.probePeriod, now);
}

void Prober::abandonProbe()
{
    m_probe.reset();
    m_forwards.clear();
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
    // Each round visits all members once in a new random order, which bounds the time until a dead one is probed.
    for (int round = 0; round < 2; ++round) {
        while (!m_order.empty()) {
            const NodeName node = m_order.back();
            m_order.pop_back();
            const MemberRecord *record = m_state.table.find(node);
            if (record && isLive(record->member.state) && node != m_state.self.node) {
                return node;
            }
        }
        m_order = m_state.table.live();
        for (std::size_t index = m_order.size(); index > 1; --index) {
            std::swap(m_order[index - 1], m_order[m_state.random.below(index)]);
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
    for (const Member &helper : m_state.randomPeers(static_cast<std::size_t>(m_state.settings.indirectProbes) + 1)) {
        if (helper.node != m_probe->target) {
            m_state.sender.send(helper.endpoint, request);
        }
    }
}

void Prober::onAck(const Ack &message)
{
    if (m_probe && message.sequence == m_probe->sequence) {
        // Another node at the address, or an earlier incarnation, is no sign of life.
        if (message.self.node == m_probe->target && message.self.incarnation >= m_probe->incarnation) {
            m_probe.reset();
        }
        return;
    }
    const auto forward = std::ranges::find(m_forwards, message.sequence, &Forward::sequence);
    if (forward != m_forwards.end()) {
        Ack forwarded = message;
        forwarded.sequence = forward->originSequence;
        m_state.sender.send(forward->origin, forwarded);
        m_forwards.erase(forward);
    }
}

void Prober::onIndirect(const PingIndirect &message)
{
    if (m_forwards.size() >= MaxForwards) {
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
    m_forwards.push_back({sequence, message.sequence, message.self.endpoint, m_state.clock.now()});
    m_state.sendPing(target, sequence);
}

void Prober::verifyDead()
{
    const TimePoint now = m_state.clock.now();
    std::erase_if(m_verifications, [&](const Verification &verification) {
        if (now - verification.sentAt < m_state.settings.suspicionTimeout) {
            return false;
        }
        // No refutation came: those who take it for alive missed its death.
        m_state.table.repeatDead(verification.target, verification.incarnation);
        return true;
    });
    for (int count = 0; count < VerificationsPerTick && !m_state.toVerify.empty(); ++count) {
        const MemberRecord *record = m_state.table.find(m_state.toVerify.front());
        m_state.toVerify.pop_front();
        if (record && record->member.state == MemberState::Dead) {
            m_verifications.push_back({record->member.node, record->member.incarnation, now});
            m_state.sendPing(record->member, m_state.nextSequence());
        }
    }
}

} // namespace vanillatack
