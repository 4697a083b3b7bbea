#pragma once

#include "quota/internal/tokenbucket.h"
#include "quota/quotasetup.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace vanillatack {

/// Clock of a node that runs fast or slow relative to the clock of the test.
class DriftingClock final : public IClock
{
public:
    DriftingClock(const ManualClock &clock, int driftPpm, Duration offset);

    [[nodiscard]] TimePoint now() const override;
    [[nodiscard]] WallTime wallNow() const override;

private:
    const ManualClock &m_clock;
    TimePoint m_start;
    int m_driftPpm;
    Duration m_offset;
};

/// Reference: one token bucket for the whole fleet, on the clock of the test.
class CentralBucket
{
public:
    void set(TimePoint now, std::int64_t rate, std::int64_t burst, bool fill);
    bool tryTake(TimePoint now);
    void take(TimePoint now); ///< Aborts when the bucket does not hold a whole request.

private:
    std::int64_t m_rate = 0;
    std::int64_t m_burst = 0;
    WideInteger m_level = 0; ///< Tokens x 10^9.
    TimePoint m_at;
};

struct FleetStatistics {
    std::uint64_t arrivals = 0;
    std::uint64_t admitted = 0;
    std::uint64_t admittedByCentral = 0; ///< Admitted by a central bucket with the same arrivals.
    std::uint64_t refusedWithinRate = 0; ///< Refused by the fleet although the central bucket admits.
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< Estimate for unpacked Cap'n Proto with UDP and IP headers and HMAC.
};

/// Simulates IQuota instances in virtual time, on a network that loses, delays, duplicates and reorders messages.
class FakeFleet
{
public:
    struct Options {
        int zones = 3;
        int nodesPerZone = 5;
        int sharesPerZone = 2;
        int lossPermille = 0;
        int duplicatePermille = 0;
        Duration longestDelay = std::chrono::milliseconds(1);
        bool drift = false;
        Duration callerWait = std::chrono::milliseconds(50);
        QuotaSettings settings;
    };

    FakeFleet(const Options &options, std::uint64_t seed);
    ~FakeFleet();

    /// Every node applies the configuration within the given time, a paused node after its pause. The reference uses
    /// the maximum of both quotas until all nodes use the new one.
    void configure(const std::map<WorkspaceName, WorkspaceQuota> &quotas,
                   const std::vector<int> &zoneWeights,
                   Duration spread = Duration::zero());
    void setReference(const WorkspaceName &workspace, const WorkspaceQuota &quota, bool fill);
    /// Sets the requests per second at each node of a zone; -1 for all zones.
    void setDemand(const WorkspaceName &workspace, int zone, double ratePerNode);
    void setNodeDemand(const WorkspaceName &workspace, int node, double perSecond);
    void run(Duration duration);
    void pause(int node, Duration duration);
    void stop(int node);
    void restart(int node);
    void cutOff(int zone, bool cut);

    [[nodiscard]] int nodeCount() const;
    [[nodiscard]] int zoneOf(int node) const;
    [[nodiscard]] std::uint64_t busiestNodeBytes() const;
    [[nodiscard]] std::uint64_t meanBytesWithoutShare() const; ///< Sent and received per node without a share slot.
    IQuota &quota(int node);
    FleetStatistics takeStatistics(const WorkspaceName &workspace);
    IRandom &random();
    TimePoint now() const;

private:
    struct Caller {
        WorkspaceName workspace;
        TimePoint until;
        bool centralAdmits = false;
    };

    struct Node;
    struct WorkspaceSimulation;

    void schedule(TimePoint time, std::function<void()> action);
    void deliver(int from, const Endpoint &to, const ControlMessage &message);
    void handleArrival(int node, const WorkspaceName &workspace, std::uint64_t demandEpoch);
    bool tryAcquire(Node &node, const Caller &caller);
    void retryWaiting(Node &node, const WorkspaceName &workspace);
    void expireCallers(Node &node);
    void admit(const WorkspaceName &workspace);
    void start(int node);
    void applyConfiguration(int node, Duration spread);
    void tick(int node, std::uint64_t incarnation);
    std::vector<Member> ownersFor(int node) const;

    Options m_options;
    ManualClock m_clock;
    SeededRandom m_random;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<bool> m_cut;
    std::map<WorkspaceName, std::unique_ptr<WorkspaceSimulation>> m_simulations;
    std::map<WorkspaceName, WorkspaceQuota> m_quotas;
    std::vector<int> m_zoneWeights;
    std::map<std::uint64_t, std::function<void()>> m_actions;
    std::priority_queue<std::pair<TimePoint, std::uint64_t>,
                        std::vector<std::pair<TimePoint, std::uint64_t>>,
                        std::greater<>>
        m_events;
    std::uint64_t m_nextEvent = 0;
    std::uint64_t m_messages = 0;
    std::uint64_t m_bytes = 0;
};

} // namespace vanillatack
