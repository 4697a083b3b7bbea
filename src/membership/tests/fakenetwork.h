#pragma once

#include "base/random.h"
#include "membership/membershipsetup.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>

namespace vanillatack {

/// One node of the fake network. Records the notifications of its listener.
struct FakeNode : IMessageSender, IMembershipListener, IClock {
    class FakeNetwork *network = nullptr;
    SelfDescription description;
    std::unique_ptr<SeededRandom> random;
    std::unique_ptr<IMembership> membership;
    std::map<ServiceName, std::vector<Member>> services;
    StateVersions highestPeerVersions;
    Duration wallSkew{0};
    int partition = 0; ///< Only nodes of the same partition reach each other.
    bool paused = false;
    std::size_t startIndex = 0; ///< Number of nodes started before it. Also the offset of its ticks in steps.
    std::uint64_t sentMessages = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::vector<std::pair<Endpoint, ControlMessage>> buffered; ///< Messages that arrived during a pause.

    void send(const Endpoint &to, const ControlMessage &message) override;
    [[nodiscard]] TimePoint now() const override;
    [[nodiscard]] WallTime wallNow() const override;

    void onServiceChanged(const ServiceName &service, const std::vector<Member> &instances) override
    {
        services[service] = instances;
    }

    void onPeerVersions(const Endpoint & /*peer*/, const StateVersions &versions) override
    {
        highestPeerVersions.configVersion = std::max(highestPeerVersions.configVersion, versions.configVersion);
    }
};

/// Runs nodes in virtual time on a network with delay, loss, duplication and partitions. Its list of running nodes is
/// the reference that the views of the nodes are compared with.
class FakeNetwork
{
public:
    static constexpr Duration Step = std::chrono::milliseconds(10);
    static constexpr std::size_t StepsPerTick = 5;

    ManualClock clock;
    SeededRandom random;
    MembershipSettings settings;
    double loss = 0;
    double duplication = 0;
    std::set<ZoneName> cutZones; ///< Zones cut off from all other zones.
    std::map<std::string, std::unique_ptr<FakeNode>> nodes; ///< Running nodes by endpoint text.
    std::vector<std::unique_ptr<FakeNode>> stopped;
    std::vector<Endpoint> seeds;
    std::function<void(const FakeNode &, const ControlMessage &)> onSend; ///< Called for each message sent.

    explicit FakeNetwork(std::uint64_t seed)
        : random(seed)
    {
    }

    FakeNode &start(const std::string &node, const std::string &zone, const std::string &service = "", int slot = -1)
    {
        return startAt("10.0." + std::to_string(m_started / 250) + "." + std::to_string(m_started % 250),
                       node,
                       zone,
                       service,
                       slot);
    }

    FakeNode &startAt(const std::string &address,
                      const std::string &node,
                      const std::string &zone,
                      const std::string &service = "",
                      int slot = -1)
    {
        auto fake = std::make_unique<FakeNode>();
        fake->network = this;
        fake->startIndex = m_started++;
        fake->description = {NodeName(node), ZoneName(zone), Endpoint{address, 7400}, slot, seeds};
        fake->random = std::make_unique<SeededRandom>(random.next());
        fake->membership = makeMembership(*fake, *fake->random, *fake, *fake, fake->description, settings);
        if (!service.empty()) {
            fake->membership->setUpstream(ServiceName(service), 100, false);
        }
        FakeNode &result = *fake;
        nodes[result.description.endpoint.text()] = std::move(fake);
        return result;
    }

    void startZone(const std::string &zone, int count, int services = 5, int firstService = 0)
    {
        for (int index = 0; index < count; ++index) {
            const std::string number = std::to_string(index + 1000).substr(1);
            start(zone + "-node-" + number,
                  zone,
                  "service-" + std::to_string((firstService + index) % services),
                  index < 4 ? index : -1);
        }
    }

    void kill(FakeNode &node)
    {
        const auto found = nodes.find(node.description.endpoint.text());
        stopped.push_back(std::move(found->second));
        nodes.erase(found);
    }

    FakeNode &node(const std::string &name)
    {
        for (auto &[endpoint, fake] : nodes) {
            if (fake->description.node.value == name) {
                return *fake;
            }
        }
        std::abort();
    }

    void resume(FakeNode &node)
    {
        node.paused = false;
        for (const auto &[from, message] : std::exchange(node.buffered, {})) {
            deliver(node, from, message);
        }
    }

    void send(FakeNode &from, const Endpoint &to, const ControlMessage &message)
    {
        ++from.sentMessages;
        if (onSend) {
            onSend(from, message);
        }
        from.sentBytes += estimateBytes(message);
        const int copies = random.fraction() < loss ? 0 : random.fraction() < duplication ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const auto delay = Duration(std::chrono::microseconds(500 + random.below(4000)));
            m_queue.push({clock.now() + delay,
                          ++m_sequence,
                          from.description.endpoint,
                          from.description.zone,
                          from.partition,
                          to,
                          message});
        }
    }

    void run(Duration duration)
    {
        for (const TimePoint end = clock.now() + duration; clock.now() < end;) {
            step();
        }
    }

    /// Runs until the condition holds, evaluated at each check interval; returns the elapsed time, or nullopt after the
    /// limit.
    template<class Condition>
    std::optional<Duration>
    runUntil(Duration limit, Condition condition, Duration check = std::chrono::milliseconds(100))
    {
        for (const TimePoint start = clock.now(); clock.now() - start < limit;) {
            if (condition()) {
                return clock.now() - start;
            }
            run(check);
        }
        return std::nullopt;
    }

    /// Members of each zone that every node of the zone should list.
    std::map<ZoneName, std::map<NodeName, Member>> expectedMembers() const
    {
        std::map<ZoneName, std::map<NodeName, Member>> list;
        for (const auto &[endpoint, node] : nodes) {
            list[node->description.zone][node->description.node] = node->membership->self();
        }
        return list;
    }

    /// Whether the view of every node matches the expected members: its own zone exactly, other zones by node count and
    /// contacts.
    bool viewsMatch() const
    {
        const auto list = expectedMembers();
        for (const auto &[endpoint, node] : nodes) {
            std::map<NodeName, Member> seen;
            for (const Member &member : node->membership->members()) {
                seen[member.node] = member;
            }
            if (seen != list.at(node->description.zone) || !zonesMatch(*node, list) || !servicesMatch(*node, list)) {
                return false;
            }
        }
        return true;
    }

private:
    struct Packet {
        TimePoint at;
        std::uint64_t order;
        Endpoint from;
        ZoneName fromZone;
        int fromPartition;
        Endpoint to;
        ControlMessage message;

        bool operator<(const Packet &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    static bool zonesMatch(const FakeNode &node, const std::map<ZoneName, std::map<NodeName, Member>> &list)
    {
        std::map<ZoneName, int> seen;
        for (const ZoneStatus &status : node.membership->zones()) {
            if (status.reachable) {
                seen[status.zone] = status.nodes;
            }
        }
        std::map<ZoneName, int> expected;
        for (const auto &[zone, members] : list) {
            expected[zone] = static_cast<int>(members.size());
        }
        return seen == expected;
    }

    static bool servicesMatch(const FakeNode &node, const std::map<ZoneName, std::map<NodeName, Member>> &list)
    {
        std::map<ServiceName, std::set<NodeName>> expected;
        for (const auto &[zone, members] : list) {
            std::map<ServiceName, int> contacts;
            for (const auto &[name, member] : members) {
                const bool own = zone == node.description.zone;
                const bool contact = member.state != MemberState::Draining && contacts[member.service] < 3;
                if (!member.service.empty() && (own || contact)) {
                    ++contacts[member.service];
                    expected[member.service].insert(name);
                }
            }
        }
        std::map<ServiceName, std::set<NodeName>> seen;
        for (const auto &[service, instances] : node.services) {
            for (const Member &instance : instances) {
                seen[service].insert(instance.node);
            }
        }
        return seen == expected;
    }

    void step()
    {
        clock.advance(Step);
        ++m_steps;
        while (!m_queue.empty() && m_queue.top().at <= clock.now()) {
            const Packet packet = m_queue.top();
            m_queue.pop();
            const auto target = nodes.find(packet.to.text());
            if (target == nodes.end() || blocked(packet, *target->second)) {
                continue;
            }
            FakeNode &node = *target->second;
            node.receivedBytes += estimateBytes(packet.message);
            if (node.paused) {
                if (node.buffered.size() < 100) {
                    node.buffered.emplace_back(packet.from, packet.message);
                }
            } else {
                deliver(node, packet.from, packet.message);
            }
        }
        for (auto &[endpoint, node] : nodes) {
            if (!node->paused && (m_steps + node->startIndex) % StepsPerTick == 0) {
                node->membership->tick();
            }
        }
    }

    bool blocked(const Packet &packet, const FakeNode &target) const
    {
        const ZoneName &zone = target.description.zone;
        return packet.fromPartition != target.partition
            || (packet.fromZone != zone && (cutZones.contains(zone) || cutZones.contains(packet.fromZone)));
    }

    static void deliver(FakeNode &node, const Endpoint &from, const ControlMessage &message)
    {
        std::visit(
            [&](const auto &value) {
                if constexpr (requires { node.membership->receive(from, value); }) {
                    node.membership->receive(from, value);
                }
            },
            message);
    }

    std::priority_queue<Packet> m_queue;
    std::uint64_t m_sequence = 0;
    std::size_t m_steps = 0;
    std::size_t m_started = 0;
};

inline void FakeNode::send(const Endpoint &to, const ControlMessage &message)
{
    network->send(*this, to, message);
}

inline TimePoint FakeNode::now() const
{
    return network->clock.now();
}

inline WallTime FakeNode::wallNow() const
{
    return network->clock.wallNow() + std::chrono::duration_cast<WallTime::duration>(wallSkew);
}

} // namespace vanillatack
