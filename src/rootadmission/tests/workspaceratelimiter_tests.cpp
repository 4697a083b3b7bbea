#include "rootadmission/workspaceratelimiter.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace vanillatack;
using namespace std::chrono_literals;

namespace {

const TimePoint Start(1000s);
const WorkspaceName Acme("acme");

/// Returns the side of a network partition that a node is on; only nodes of the same side are connected.
using Partition = std::function<int(int node)>;

int noPartition(int /*node*/)
{
    return 0;
}

} // namespace

/// Simulates the nodes of a fleet and their network: messages take 1 ms, some are lost, and none are delivered
/// between sides of a partition. The tests check how many requests all nodes together admit.
TEST_GROUP(WorkspaceRateLimiter)
{
    static constexpr Duration Step = 1ms;
    static constexpr Duration UpdateInterval = 250ms;
    static constexpr double PartitionedRate = 300;

    struct Message {
        TimePoint at;
        int to = 0;
        std::function<void(WorkspaceRateLimiter &, TimePoint)> deliver;
    };

    struct Link final : IRateLink {
        Link(std::function<void(const NodeName &, std::function<void(WorkspaceRateLimiter &, TimePoint)>)> sendMessage)
            : send(std::move(sendMessage))
        {
        }
        void sendAsk(const NodeName &owner, const RateAsk &ask) override
        {
            send(owner, [ask](WorkspaceRateLimiter &limiter, TimePoint at) {
                limiter.onAsk(ask, at);
            });
        }
        void sendGrant(const NodeName &asker, const RateGrant &grant) override
        {
            send(asker, [grant](WorkspaceRateLimiter &limiter, TimePoint at) {
                limiter.onGrant(grant, at);
            });
        }
        std::function<void(const NodeName &, std::function<void(WorkspaceRateLimiter &, TimePoint)>)> send;
    };

    SeededRandom random{3};
    std::vector<NodeName> names;
    std::vector<std::unique_ptr<Link>> links;
    std::vector<std::unique_ptr<WorkspaceRateLimiter>> limiters;
    std::map<WorkspaceName, RateLimit> limits;
    std::deque<Message> network;
    Partition side = noPartition;
    std::optional<NodeName> leaving; ///< A node that is leaving according to the stale copies of the registry.
    std::optional<NodeName> missing; ///< A node that the stale copies of the registry lack.
    double loss = 0;
    TimePoint now = Start;
    TimePoint updateAt = Start;
    int admitted = 0;
    int refused = 0;
    std::deque<std::pair<TimePoint, int>> window; ///< Admissions of the last five seconds.
    int inWindow = 0;
    int maxInWindow = 0; ///< Largest number of admissions in any five seconds.
    std::vector<std::vector<int>> previousSides; ///< By node, the sides of the other nodes in the last round.

    void build(int count, const RateLimit &limit, const WorkspaceName &workspace = Acme)
    {
        limits = {{workspace, limit}};
        for (int i = 0; i < count; ++i) {
            names.emplace_back("n" + std::to_string(i));
        }
        for (int i = 0; i < count; ++i) {
            links.push_back(std::make_unique<Link>([this, i](const NodeName &to, auto deliver) {
                const auto target = std::find(names.begin(), names.end(), to) - names.begin();
                const bool lost = random.fraction() < loss;
                if (!lost && side(i) == side(static_cast<int>(target))) {
                    network.push_back({now + 1ms, static_cast<int>(target), std::move(deliver)});
                }
            }));
            limiters.push_back(std::make_unique<WorkspaceRateLimiter>(
                names[i], RateTolerance{.share = 0.1, .requests = 20}, random, *links.back()));
            limiters.back()->setLimits(limits);
        }
        exchangeReachability();
    }

    /// Updates every node with the statements of the nodes on its side.
    void exchangeReachability()
    {
        const int count = static_cast<int>(names.size());
        for (int i = 0; i < count; ++i) {
            std::vector<OwnerStatement> statements;
            for (int other = 0; other < count; ++other) {
                if (side(other) != side(i)) {
                    continue;
                }
                OwnerStatement entry{names[other], leavingTo(other), digestOf(registeredAt(other))};
                for (int third = 0; third < count; ++third) {
                    if (side(third) != side(other)) {
                        entry.notOwners.insert(names[third]);
                    }
                }
                statements.push_back(std::move(entry));
            }
            limiters[i]->update(registeredAt(i), std::move(statements), now);
        }
    }

    /// Whether a node's copy of the registry is stale, as it is at half of the nodes, among them the second owner.
    bool isStale(int node) const
    {
        RateOwnership ownership(names[0]);
        const std::set<NodeName> all(names.begin(), names.end());
        ownership.setNodes(all);
        const auto second = std::find(names.begin(), names.end(), ownership.ownerCandidates(Acme).at(1));
        return node % 2 == (second - names.begin()) % 2;
    }

    /// The nodes in a node's copy of the registry.
    std::set<NodeName> registeredAt(int node) const
    {
        std::set<NodeName> registered(names.begin(), names.end());
        if (missing && isStale(node) && names[node] != *missing) {
            registered.erase(*missing);
        }
        return registered;
    }

    /// The nodes that are leaving according to a node's copy of the registry.
    std::set<NodeName> leavingTo(int node) const
    {
        return leaving && isStale(node) && names[node] != *leaving ? std::set<NodeName>{*leaving}
                                                                   : std::set<NodeName>{};
    }

    /// Runs a flood of the whole fleet and returns by how much the admitted requests exceed the bound.
    double excessInFlood(const RateLimit &limit)
    {
        run(12s, spread(8 * limit.ratePerSecond));
        CHECK(admitted >= 0.4 * limit.ratePerSecond * 12);
        return maxInWindow - bound(limit);
    }

    /// Replaces all nodes by new ones, which know nothing of the earlier ones. They learn of the fleet with the next
    /// exchange of the reachability.
    void restartAll()
    {
        network.clear();
        for (std::size_t i = 0; i < names.size(); ++i) {
            limiters[i] = std::make_unique<WorkspaceRateLimiter>(
                names[i], RateTolerance{.share = 0.1, .requests = 20}, random, *links[i]);
            limiters[i]->setLimits(limits);
        }
        updateAt = now;
    }

    void acquire(int node, const WorkspaceName &workspace = Acme)
    {
        limiters[node]->acquire(workspace, now, [this](TokenOutcome outcome, Duration) {
            if (outcome == TokenOutcome::Granted) {
                ++admitted;
                window.emplace_back(now, 1);
                ++inWindow;
            } else {
                ++refused;
            }
        });
    }

    void run(Duration time, const std::function<void()> &demand)
    {
        for (const TimePoint end = now + time; now < end; now += Step) {
            if (now - updateAt >= UpdateInterval) {
                updateAt = now;
                exchangeReachability();
            }
            while (!network.empty() && network.front().at <= now) {
                const Message message = std::move(network.front());
                network.pop_front();
                message.deliver(*limiters[message.to], now);
            }
            demand();
            for (auto &node : limiters) {
                if (node->hasPendingAsks()) {
                    node->retryAsks(now);
                }
            }
            while (!window.empty() && now - window.front().first > 5s) {
                inWindow -= window.front().second;
                window.pop_front();
            }
            maxInWindow = std::max(maxInWindow, inWindow);
        }
    }

    /// Demand at random nodes.
    std::function<void()> spread(double perSecond)
    {
        return [this, perSecond] {
            m_pendingDemand += perSecond / 1000;
            for (; m_pendingDemand >= 1; m_pendingDemand -= 1) {
                acquire(static_cast<int>(random.below(names.size())));
            }
        };
    }

    /// Largest number of requests that the fleet may admit in five seconds: rate x window + burst, plus the
    /// RateTolerance of build().
    static double bound(const RateLimit &limit)
    {
        return (limit.ratePerSecond * 5 + limit.burst) * 1.1 + 20;
    }

    double m_pendingDemand = 0;
};

TEST(WorkspaceRateLimiter, oneNodeWithTheWholeDemandGetsTheFullRate)
{
    build(14, {.ratePerSecond = 300, .burst = 300});
    run(10s, [this] {
        m_pendingDemand += 0.28;
        for (; m_pendingDemand >= 1; m_pendingDemand -= 1) {
            acquire(3);
        }
    });
    CHECK(refused * 1000 <= admitted); // At most one in a thousand is refused within the rate.
}

TEST(WorkspaceRateLimiter, aSmallWorkspaceAtRandomNodesIsNotRefused)
{
    // 19 of 30 allowed requests per second, at random over 14 nodes: one or two per second at each.
    build(14, {.ratePerSecond = 30, .burst = 30});
    run(60s, spread(19));
    CHECK(refused * 1000 <= admitted);
}

TEST(WorkspaceRateLimiter, aSmallWorkspaceOnALargeFleetIsNotRefusedWithinItsRate)
{
    // Low load on 78 nodes: less than one request per second of the workspace at each node.
    build(78, {.ratePerSecond = 30, .burst = 30});
    run(20s, spread(28));
    CHECK(admitted > 400);
    CHECK(refused * 1000 <= admitted);
}

TEST(WorkspaceRateLimiter, lostMessagesCauseFewRefusalsWithinTheRate)
{
    loss = 0.03;
    build(14, {.ratePerSecond = 300, .burst = 300});
    run(20s, spread(250));
    CHECK(refused * 100 <= admitted);
}

TEST(WorkspaceRateLimiter, floodStaysWithinTheBoundInEveryFiveSeconds)
{
    // A workspace sends eight times its rate, through different nodes every second.
    const RateLimit limit{.ratePerSecond = 300, .burst = 300};
    build(14, limit);
    int step = 0;
    run(30s, [&] {
        const int second = step++ / 1000;
        m_pendingDemand += 2.4;
        for (int i = 0; m_pendingDemand >= 1; m_pendingDemand -= 1, ++i) {
            acquire((second * 5 + i * 3) % 14);
        }
    });
    CHECK(maxInWindow <= bound(limit));
    CHECK(admitted >= 0.95 * 300 * 30); // The flood still gets the full rate.
}

TEST(WorkspaceRateLimiter, aFloodThatStartsAtAllNodesAtOnceStaysWithinTheBound)
{
    const RateLimit limit{.ratePerSecond = 300, .burst = 300};
    build(14, limit);
    run(6s, spread(1));
    run(12s, spread(1050));
    CHECK(maxInWindow <= bound(limit));
}

// Guards against nodes that grant tokens on their own after a restart of the whole fleet, before they know that there
// are others (QUOTA).
TEST(WorkspaceRateLimiter, aFloodDuringARestartOfAllNodesStaysWithinTheBound)
{
    const RateLimit limit{.ratePerSecond = 455, .burst = 190};
    build(80, limit);
    run(6s, spread(2500));
    restartAll();
    run(6s, spread(2500));
    CHECK(maxInWindow <= bound(limit));
    CHECK(admitted >= 0.9 * 455 * 12);
}

// Guards against two owners that grant the whole rate each while some nodes have not learned yet that the first one is
// back after a restart (QUOTA).
TEST(WorkspaceRateLimiter, aRestartedOwnerThatSomeNodesTakeForLeavingDoesNotDoubleTheRate)
{
    const RateLimit limit{.ratePerSecond = 300, .burst = 300};
    build(14, limit);
    run(3s, spread(100));
    leaving = limiters[0]->owner(Acme, now);
    CHECK(excessInFlood(limit) <= 0);
}

// Guards against two owners that grant the whole rate each while some nodes have not learned of the first one (QUOTA).
TEST(WorkspaceRateLimiter, anOwnerThatSomeNodesDoNotKnowDoesNotDoubleTheRate)
{
    const RateLimit limit{.ratePerSecond = 300, .burst = 300};
    build(14, limit);
    run(3s, spread(100));
    missing = limiters[0]->owner(Acme, now);
    CHECK(excessInFlood(limit) <= 0);
}

TEST(WorkspaceRateLimiter, allSidesOfAPartitionTogetherStayWithinTheBound)
{
    const RateLimit limit{.ratePerSecond = PartitionedRate, .burst = PartitionedRate};
    build(14, limit);
    run(5s, spread(350));
    side = [](int node) {
        return node % 3;
    };
    run(10s, spread(2400));
    side = noPartition;
    run(10s, spread(2400));
    CHECK(maxInWindow <= bound(limit));
}

TEST(WorkspaceRateLimiter, eachSideOfAPartitionServesItsEqualShare)
{
    build(12, {.ratePerSecond = 300, .burst = 300});
    run(2s, spread(100));
    side = [](int node) {
        return node % 3;
    };
    run(2s, spread(100));
    admitted = 0;
    refused = 0;
    run(10s, spread(270)); // 90 requests per second on each side, which may use 100.
    CHECK(refused * 100 <= admitted);
}

TEST(WorkspaceRateLimiter, anIsolatedNodeKeepsItsEqualShare)
{
    build(10, {.ratePerSecond = 300, .burst = 300});
    side = [](int node) {
        return node == 4 ? 1 : 0;
    };
    run(2s, [] {});
    run(10s, [this] {
        m_pendingDemand += 0.1;
        for (; m_pendingDemand >= 1; m_pendingDemand -= 1) {
            acquire(4);
        }
    });
    CHECK(admitted >= 0.95 * 30 * 10);
    CHECK(admitted <= bound({.ratePerSecond = 30, .burst = 30}) + 30 * 5);
}

TEST(WorkspaceRateLimiter, staysWithinTheBoundWhenOwnersAreIsolatedInTurn)
{
    // During a flood, the current owner of the rate is isolated every two seconds.
    const RateLimit limit{.ratePerSecond = 300, .burst = 300};
    build(14, limit);
    for (int i = 0; i < 8; ++i) {
        const NodeName owner = limiters[13]->owner(Acme, now);
        const int isolated = static_cast<int>(std::find(names.begin(), names.end(), owner) - names.begin());
        side = [isolated](int node) {
            return node == isolated ? 1 : 0;
        };
        run(2s, spread(2400));
    }
    CHECK(maxInWindow <= bound(limit));
}

TEST(WorkspaceRateLimiter, aSmallWorkspaceIsServedBeforeItsIsolatedOwnerCountsAsUnresponsive)
{
    // The nodes still consider the owner responsive, so nothing is pledged to the second owner.
    build(12, {.ratePerSecond = 10, .burst = 10});
    run(2s, spread(6));
    const NodeName owner = limiters[0]->owner(Acme, now);
    const int isolated = static_cast<int>(std::find(names.begin(), names.end(), owner) - names.begin());
    side = [isolated](int node) {
        return node == isolated ? 1 : 0;
    };
    updateAt = now + 1s; // Reachability is not exchanged, so that no node detects the partition.
    admitted = 0;
    refused = 0;
    run(1s, [&] {
        m_pendingDemand += 0.003;
        for (; m_pendingDemand >= 1; m_pendingDemand -= 1) {
            acquire(isolated == 0 ? 1 : 0);
        }
    });
    CHECK(admitted >= 2);
    LONGS_EQUAL(0, refused);
}

TEST(WorkspaceRateLimiter, refundedTokensAreGrantedAgain)
{
    build(3, {.ratePerSecond = 10, .burst = 10});
    // All requests, at many times the rate, acquire a token and then refund it as if there were no capacity.
    run(10s, [this] {
        limiters[1]->acquire(Acme, now, [this](TokenOutcome outcome, Duration) {
            refused += outcome == TokenOutcome::Granted ? 0 : 1;
            limiters[1]->refund(Acme);
        });
    });
    LONGS_EQUAL(0, refused);
}

TEST(WorkspaceRateLimiter, unlimitedWorkspacesSendNoAsks)
{
    build(3, {.ratePerSecond = 0, .burst = 0});
    run(100ms, [this] {
        acquire(0);
    });
    LONGS_EQUAL(0, refused);
    CHECK(network.empty());
}

TEST(WorkspaceRateLimiter, aLowerLimitReducesTheTokensOfTheBucket)
{
    build(3, {.ratePerSecond = 300, .burst = 300});
    run(5s, [] {});
    limits = {{Acme, {.ratePerSecond = 10, .burst = 10}}};
    for (auto &node : limiters) {
        node->setLimits(limits);
    }
    run(5s, spread(100));
    CHECK(admitted <= bound({.ratePerSecond = 10, .burst = 10}));
}

TEST_GROUP(RateOwnership)
{
    std::set<NodeName> all;

    void setup() override
    {
        for (int i = 0; i < 20; ++i) {
            all.insert(NodeName("n" + std::to_string(i)));
        }
    }

    /// Sum of the pledged shares of all nodes, given a function that returns the nodes that are unresponsive to a node.
    double sumOfPledgedShares(const std::function<std::set<NodeName>(const NodeName &)> &unresponsiveTo)
    {
        std::vector<OwnerStatement> statements;
        for (const NodeName &node : all) {
            statements.push_back({node, unresponsiveTo(node), digestOf(all)});
        }
        double sum = 0;
        for (const NodeName &node : all) {
            RateOwnership ownership(node);
            ownership.setNodes(all);
            ownership.setStatements(statements);
            sum += ownership.pledgedShare(Acme);
        }
        return sum;
    }
};

TEST(RateOwnership, pledgedSharesAddUpToOneForAnyConnectivity)
{
    SeededRandom random(8);
    DOUBLES_EQUAL(1,
                  sumOfPledgedShares([](const NodeName &) {
                      return std::set<NodeName>{};
                  }),
                  1e-9);
    for (int trial = 0; trial < 50; ++trial) {
        DOUBLES_EQUAL(1,
                      sumOfPledgedShares([&](const NodeName &self) {
                          std::set<NodeName> unresponsive;
                          for (const NodeName &node : all) {
                              if (node != self && random.fraction() < 0.7) {
                                  unresponsive.insert(node);
                              }
                          }
                          return unresponsive;
                      }),
                      1e-9);
    }
}

// Guards against a rate that is granted in part only while nodes learn one after another that a node has joined or
// left.
TEST(RateOwnership, pledgesOfNodesThatLearnOfAChangeLaterAreCounted)
{
    std::set<NodeName> fewer = all;
    fewer.erase(NodeName("n7"));
    const auto shareAfter = [this](const std::set<NodeName> &before, const std::set<NodeName> &after) {
        double sum = 0;
        for (const NodeName &node : after) {
            RateOwnership ownership(node);
            ownership.setNodes(before);
            ownership.setNodes(after);
            std::vector<OwnerStatement> statements;
            for (const NodeName &other : after) {
                // All others still know the nodes of before.
                statements.push_back({other, {}, digestOf(other == node ? after : before)});
            }
            ownership.setStatements(statements);
            LONGS_EQUAL(0, ownership.differingViews());
            sum += ownership.pledgedShare(Acme);
        }
        return sum;
    };
    CHECK(shareAfter(all, fewer) >= 0.9);
    CHECK(shareAfter(fewer, all) >= 0.9);
}

TEST(RateOwnership, aNewNodeTakesOverFewWorkspaces)
{
    RateOwnership ownership(NodeName("n0"));
    ownership.setNodes(all);
    std::map<WorkspaceName, NodeName> before;
    for (int i = 0; i < 200; ++i) {
        const WorkspaceName workspace("w" + std::to_string(i));
        before[workspace] = ownership.ownerCandidates(workspace).front();
    }
    std::set<NodeName> more = all;
    more.insert(NodeName("late"));
    ownership.setNodes(more);
    int moved = 0;
    for (const auto &[workspace, owner] : before) {
        const NodeName after = ownership.ownerCandidates(workspace).front();
        moved += after == owner ? 0 : 1;
        CHECK(after == owner || after == NodeName("late"));
    }
    CHECK(moved > 0);
    CHECK(moved < 30);
}
