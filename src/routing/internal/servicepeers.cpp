#include "routing/internal/servicepeers.h"

#include "base/invariant.h"

#include <algorithm>

namespace vanillatack {

namespace {

/// Factor on the weight of a suspect member. Low but not 0: most suspect members are alive and refute the suspicion
/// within a second.
constexpr double SuspectWeight = 0.25;
/// Upper limit of the factor by which a high latency raises an instance's cost.
constexpr double MaxLatencyFactor = 20;
/// Maximum random increase of an instance's cost, as a share of it.
constexpr double CostJitter = 0.25;

std::uint64_t rendezvousHash(const NodeName &self, const NodeName &peer)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const std::string *text : {&self.value, &peer.value}) {
        for (const char letter : *text) {
            hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001b3ULL;
        }
        hash = (hash ^ 0xff) * 0x100000001b3ULL;
    }
    hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccdULL;
    return hash ^ (hash >> 33);
}

} // namespace

ServicePeers::ServicePeers(const RoutingSettings &settings)
    : m_settings(settings)
{
}

void ServicePeers::setInstances(const std::vector<Member> &members, TimePoint now)
{
    for (auto &[node, instance] : m_instances) {
        instance.listed = false;
    }
    for (const Member &member : members) {
        if (member.state == MemberState::Left || member.state == MemberState::Dead) {
            continue;
        }
        const auto [found, added] = m_instances.try_emplace(member.node, Instance{member, {m_settings, now}});
        Instance &instance = found->second;
        if (added) {
            instance.rendezvousHash = rendezvousHash(m_settings.node, member.node);
        } else {
            const bool restarted =
                instance.member.endpoint != member.endpoint || (member.cold && !instance.member.cold);
            if (restarted) {
                instance.score = InstanceScore(m_settings, now);
            }
            instance.member = member;
        }
        instance.listed = true;
    }
    std::erase_if(m_instances, [](const auto &entry) {
        return !entry.second.listed && entry.second.inFlight == 0;
    });
    choosePeers();
}

void ServicePeers::choosePeers()
{
    Candidates own;
    Candidates others;
    for (auto &[node, instance] : m_instances) {
        if (acceptsRequests(instance)) {
            (isInOwnZone(instance) ? own : others).push_back(&instance);
        }
    }
    // Peers have the highest rendezvous hashes, so that a change of the instances replaces as few peers as possible.
    std::ranges::sort(own, std::greater<>{}, &Instance::rendezvousHash);
    std::ranges::sort(others, std::greater<>{}, &Instance::rendezvousHash);
    const std::size_t reserved = std::min(others.size(), m_settings.reservedForOtherZones);
    own.resize(std::min(own.size(), m_settings.maxPeers - reserved));
    others.resize(std::min(others.size(), m_settings.maxPeers - own.size()));
    m_peers = std::move(own);
    m_peers.insert(m_peers.end(), others.begin(), others.end());
    VT_INVARIANT(m_peers.size() <= m_settings.maxPeers, "the number of peers stays within maxPeers");
}

bool ServicePeers::acceptsRequests(const Instance &instance) const
{
    const bool drained = instance.member.incarnation <= instance.drainedIncarnation && instance.drainedIncarnation > 0;
    return instance.listed && instance.member.state != MemberState::Draining && !drained;
}

bool ServicePeers::isInOwnZone(const Instance &instance) const
{
    return instance.member.zone == m_settings.zone;
}

const Member *ServicePeers::choose(const std::set<NodeName> &excluded, IRandom &random, TimePoint now)
{
    const Candidates own = candidates(excluded, true, now);
    const Candidates others = candidates(excluded, false, now);
    bool spill = own.empty();
    if (!own.empty() && !others.empty()) {
        // Spill over in proportion to the capacity missing in the own zone, unless the other zones miss as much.
        const double surplus = missingCapacity(true, now) - missingCapacity(false, now);
        spill = random.fraction() < surplus || (surplus > 0 && !excluded.empty());
    }
    const Candidates &chosenFrom = spill ? others : own;
    Instance *chosen = chosenFrom.empty() ? fallbackInstance(excluded, now) : cheaperOfTwo(chosenFrom, random, now);
    if (!chosen) {
        return nullptr;
    }
    VT_INVARIANT(!excluded.contains(chosen->member.node), "an excluded instance is not chosen");
    VT_INVARIANT(acceptsRequests(*chosen), "a draining instance is not chosen");
    ++chosen->inFlight;
    return &chosen->member;
}

ServicePeers::Candidates ServicePeers::candidates(const std::set<NodeName> &excluded, bool own, TimePoint now) const
{
    Candidates usable;
    for (Instance *peer : m_peers) {
        if (isInOwnZone(*peer) == own && !peer->score.isEjected(now) && !peer->score.isBackedOff(now)
            && !excluded.contains(peer->member.node)) {
            usable.push_back(peer);
        }
    }
    return usable;
}

double ServicePeers::missingCapacity(bool own, TimePoint now) const
{
    double missing = 0;
    int count = 0;
    for (const Instance *peer : m_peers) {
        if (isInOwnZone(*peer) == own) {
            const bool unavailable = peer->score.isEjected(now) || peer->score.isBackedOff(now);
            missing += unavailable ? 1 : peer->score.refusalRatio(now);
            ++count;
        }
    }
    return count == 0 ? 1 : missing / count;
}

ServicePeers::Instance *ServicePeers::fallbackInstance(const std::set<NodeName> &excluded, TimePoint now)
{
    // All peers are ejected, backed off or excluded: choose the instance with the lowest penalty rather than none.
    Instance *best = nullptr;
    const auto penalty = [&](const Instance &instance) {
        const bool peer = std::ranges::find(m_peers, &instance) != m_peers.end();
        return std::tuple(!peer,
                          instance.score.isEjected(now),
                          instance.score.isBackedOff(now),
                          !isInOwnZone(instance),
                          instance.score.failureRatio(now),
                          instance.inFlight,
                          ~instance.rendezvousHash);
    };
    for (auto &[node, instance] : m_instances) {
        if (acceptsRequests(instance) && !excluded.contains(node) && (!best || penalty(instance) < penalty(*best))) {
            best = &instance;
        }
    }
    return best;
}

ServicePeers::Instance *ServicePeers::cheaperOfTwo(const Candidates &candidates, IRandom &random, TimePoint now) const
{
    if (candidates.size() == 1) {
        return candidates.front();
    }
    const std::size_t first = random.below(candidates.size());
    std::size_t second = random.below(candidates.size() - 1);
    second += second >= first ? 1 : 0;
    const double median = medianLatency(candidates, now);
    // Without jitter, an instance that failed once would never be chosen again while all are idle.
    const double firstCost = cost(*candidates[first], median, now) * (1 + CostJitter * random.fraction());
    const double secondCost = cost(*candidates[second], median, now) * (1 + CostJitter * random.fraction());
    return candidates[firstCost <= secondCost ? first : second];
}

double ServicePeers::cost(const Instance &instance, double median, TimePoint now) const
{
    const double slots = std::max(1, instance.member.slots);
    const double stateFactor = instance.member.state == MemberState::Suspect ? SuspectWeight : 1;
    // At low load a slow instance is recognized by its latency, not by its requests in flight.
    const double latencyFactor = median > 0
        ? std::clamp(instance.score.latency(now) / (m_settings.slowFactor * median), 1.0, MaxLatencyFactor)
        : 1;
    return (instance.inFlight + 1) * latencyFactor / (slots * instance.score.weight(now) * stateFactor);
}

double ServicePeers::medianLatency(const Candidates &candidates, TimePoint now) const
{
    std::vector<double> latencies;
    for (const Instance *candidate : candidates) {
        if (const double latency = candidate->score.latency(now); latency > 0) {
            latencies.push_back(latency);
        }
    }
    if (latencies.empty()) {
        return 0;
    }
    // The lower median, so that the slower of two instances is recognized.
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>((latencies.size() - 1) / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return *middle;
}

void ServicePeers::finish(const NodeName &node, AttemptOutcome outcome, Duration latency, TimePoint now)
{
    const auto found = m_instances.find(node);
    VT_INVARIANT(found != m_instances.end() && found->second.inFlight > 0, "only a request in flight is finished");
    Instance &instance = found->second;
    --instance.inFlight;
    if (!instance.listed) {
        if (instance.inFlight == 0) {
            m_instances.erase(found);
        }
        return;
    }
    instance.score.record(outcome, latency, now);
    if (outcome == AttemptOutcome::RefusedDraining) {
        instance.drainedIncarnation = instance.member.incarnation;
        choosePeers();
        return;
    }
    ejectIfOutlier(instance, now);
}

void ServicePeers::ejectIfOutlier(Instance &instance, TimePoint now)
{
    if (instance.score.isEjected(now)) {
        return;
    }
    std::size_t ejected = 0;
    double failures = 0;
    std::size_t others = 0;
    for (const Instance *peer : m_peers) {
        if (peer->score.isEjected(now)) {
            ++ejected;
        } else if (peer != &instance) {
            failures += peer->score.failureRatio(now);
            ++others;
        }
    }
    const double peerRatio = others == 0 ? 1 : failures / static_cast<double>(others);
    if ((ejected + 1) * 2 <= m_peers.size() && instance.score.shouldEject(peerRatio, now)) {
        instance.score.eject(now);
        VT_INVARIANT((ejected + 1) * 2 <= m_peers.size(), "at most half of the peers are ejected");
    }
}

std::vector<InstanceStatus> ServicePeers::status(TimePoint now) const
{
    std::vector<InstanceStatus> status;
    for (const auto &[node, instance] : m_instances) {
        if (instance.listed) {
            status.push_back(
                {instance.member, instance.inFlight, instance.score.isEjected(now), instance.score.weight(now)});
        }
    }
    return status;
}

} // namespace vanillatack
