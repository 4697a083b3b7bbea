#include "membership/internal/localstate.h"

#include "membership/internal/membertransition.h"

#include <algorithm>

namespace vanillatack {

namespace {

// Size of a ping without updates and without its sender's member entry.
constexpr std::size_t EmptyProbeBytes = 210;

} // namespace

LocalState::LocalState(IClock &clockToUse,
                       IRandom &randomToUse,
                       IMessageSender &senderToUse,
                       const SelfDescription &description,
                       const MembershipSettings &settingsToUse)
    : clock(clockToUse)
    , random(randomToUse)
    , sender(senderToUse)
    , settings(settingsToUse)
    , table(settings, description.zone, description.node)
    // Random initial value, so that acks for an earlier process at this address do not match.
    , m_sequence(randomToUse.next() >> 1)
{
    self.node = description.node;
    self.zone = description.zone;
    self.endpoint = description.endpoint;
    self.shareSlot = description.shareSlot;
    self.incarnation = wallMs();
    table.setSelf(self, clock.now());
}

std::uint64_t LocalState::wallMs() const
{
    const auto sinceEpoch = clock.wallNow().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

std::uint64_t LocalState::nextSequence()
{
    return ++m_sequence;
}

std::vector<Member> LocalState::randomMembers(std::size_t count)
{
    const std::vector<NodeName> &live = table.live();
    std::vector<Member> members;
    if (live.size() <= count + 1) {
        for (const NodeName &node : live) {
            if (node != self.node) {
                members.push_back(table.find(node)->member);
            }
        }
        std::ranges::reverse(members);
        return members;
    }
    std::set<std::size_t> taken;
    while (members.size() < count) {
        const std::size_t index = random.below(live.size());
        if (live[index] != self.node && taken.insert(index).second) {
            members.push_back(table.find(live[index])->member);
        }
    }
    return members;
}

std::vector<NodeName> LocalState::relayNames(std::size_t count) const
{
    std::vector<NodeName> names;
    for (const bool draining : {false, true}) {
        for (const NodeName &node : table.live()) {
            if (names.size() >= count) {
                return names;
            }
            if ((table.find(node)->member.state == MemberState::Draining) == draining) {
                names.push_back(node);
            }
        }
    }
    return names;
}

std::vector<Member> LocalState::updatesFor(const Member &receiver, std::size_t maxBytes)
{
    std::vector<Member> updates;
    if (receiver.zone != self.zone) {
        return updates;
    }
    std::size_t used = EmptyProbeBytes + estimateBytes(self);
    if (const auto contradiction = table.contradictionOf(receiver)) {
        updates.push_back(*contradiction);
        used += estimateBytes(*contradiction);
    }
    if (used < maxBytes) {
        for (Member &update : table.popUpdates(maxBytes - used)) {
            updates.push_back(std::move(update));
        }
    }
    return updates;
}

Ping LocalState::makePing(std::uint64_t sequence, const Member &receiver, std::size_t maxBytes)
{
    return Ping{sequence, self, updatesFor(receiver, maxBytes), table.hash(), versions};
}

Ack LocalState::makeAck(std::uint64_t sequence, const Member &receiver, std::size_t maxBytes)
{
    return Ack{sequence, self, updatesFor(receiver, maxBytes), table.hash(), versions};
}

void LocalState::sendPing(const Member &receiver, std::uint64_t sequence)
{
    sender.send(receiver.endpoint, makePing(sequence, receiver, settings.probeBytes));
}

void LocalState::queueVerification(const NodeName &node)
{
    if (std::find(verificationQueue.begin(), verificationQueue.end(), node) == verificationQueue.end()) {
        verificationQueue.push_back(node);
    }
}

} // namespace vanillatack
