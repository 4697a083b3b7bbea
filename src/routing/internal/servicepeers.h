#pragma once

#include "base/random.h"
#include "routing/internal/instancescore.h"

#include <map>
#include <set>
#include <vector>

namespace vanillatack {

/// The known instances of one service and the peers among them, to which this node sends requests.
class ServicePeers
{
public:
    explicit ServicePeers(const RoutingSettings &settings);

    void setInstances(const std::vector<Member> &members, TimePoint now);

    /// Chooses the instance for the next attempt and counts a request in flight; nullptr when none is available.
    const Member *choose(const std::set<NodeName> &excluded, IRandom &random, TimePoint now);

    void finish(const NodeName &node, AttemptOutcome outcome, Duration latency, TimePoint now);

    [[nodiscard]] std::vector<InstanceStatus> status(TimePoint now) const;

private:
    struct Instance {
        Member member;
        InstanceScore score;
        int inFlight = 0;
        bool listed = true; ///< False if setInstances() no longer lists it; kept while it has requests in flight.
        std::uint64_t drainedIncarnation = 0; ///< Incarnation that refused a request because it is draining; 0 if none.
        std::uint64_t rendezvousHash = 0; ///< Hash of the names of this node and the instance.
    };

    using Candidates = std::vector<Instance *>;

    void choosePeers();
    void ejectIfOutlier(Instance &instance, TimePoint now);
    [[nodiscard]] bool acceptsRequests(const Instance &instance) const;
    [[nodiscard]] bool isInOwnZone(const Instance &instance) const;
    [[nodiscard]] Candidates candidates(const std::set<NodeName> &excluded, bool own, TimePoint now) const;
    [[nodiscard]] double missingCapacity(bool own, TimePoint now) const;
    [[nodiscard]] Instance *fallbackInstance(const std::set<NodeName> &excluded, TimePoint now);
    [[nodiscard]] Instance *cheaperOfTwo(const Candidates &candidates, IRandom &random, TimePoint now) const;
    [[nodiscard]] double cost(const Instance &instance, double medianLatency, TimePoint now) const;
    [[nodiscard]] double medianLatency(const Candidates &candidates, TimePoint now) const;

    const RoutingSettings &m_settings;
    std::map<NodeName, Instance> m_instances;
    std::vector<Instance *> m_peers;
};

} // namespace vanillatack
