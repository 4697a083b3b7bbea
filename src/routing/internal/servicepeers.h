#pragma once

#include "base/random.h"
#include "routing/internal/instancescore.h"

#include <map>
#include <set>
#include <vector>

namespace vanillatack {

/// The instances of one service as seen by this node, and the peers chosen among them.
class ServicePeers
{
public:
    explicit ServicePeers(const RoutingSettings &settings);

    void setInstances(const std::vector<Member> &members, TimePoint now);

    /// The instance for the next attempt, or nullptr when none is left. Counts a request in flight.
    const Member *choose(const std::set<NodeName> &excluded, IRandom &random, TimePoint now);

    void finish(const NodeName &node, AttemptOutcome outcome, Duration latency, TimePoint now);

    [[nodiscard]] std::vector<InstanceStatus> status(TimePoint now) const;

private:
    struct Instance {
        Member member;
        InstanceScore score;
        int inFlight = 0;
        bool known = true; ///< False when it is no longer listed but has requests in flight.
        std::uint64_t drainedIncarnation = 0; ///< Incarnation that refused as draining.
        std::uint64_t rank = 0; ///< Rendezvous hash with this node.
    };

    using Candidates = std::vector<Instance *>;

    void choosePeers();
    void ejectOutlier(Instance &instance, TimePoint now);
    [[nodiscard]] bool mayTakeWork(const Instance &instance) const;
    [[nodiscard]] bool isOwn(const Instance &instance) const;
    [[nodiscard]] Candidates candidates(const std::set<NodeName> &excluded, bool own, TimePoint now) const;
    [[nodiscard]] double shortage(bool own, TimePoint now) const;
    [[nodiscard]] Instance *lastResort(const std::set<NodeName> &excluded, TimePoint now);
    [[nodiscard]] Instance *betterOfTwo(const Candidates &candidates, IRandom &random, TimePoint now) const;
    [[nodiscard]] double cost(const Instance &instance, double medianLatency, TimePoint now) const;
    [[nodiscard]] double medianLatency(const Candidates &candidates, TimePoint now) const;

    const RoutingSettings &m_settings;
    std::map<NodeName, Instance> m_instances;
    std::vector<Instance *> m_peers;
};

} // namespace vanillatack
