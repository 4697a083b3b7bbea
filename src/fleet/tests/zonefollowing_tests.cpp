#include "base/durations.h"
#include "fleet/tablemirror.h"
#include "fleet/zonefeed.h"
#include "testing/manualexecutor.h"
#include "testing/testsettings.h"

#include <algorithm>
#include <memory>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace vanillatack;
using namespace std::chrono_literals;

namespace {

const std::string Table("op");
const std::string Key("config");
/// Time within which the platform requires an acknowledged configuration to be in force.
constexpr Duration ApplyBound = 2s;
/// Age of the last confirmation above which a node refuses keys.
constexpr Duration KeyGrace = 4s;
constexpr Duration WatchTimeout = 1s;
constexpr Duration StoreLatency = 4ms;
constexpr Duration PeerLatency = 1ms;
/// Time after the end of a watch at which a call to a silent store fails.
constexpr Duration StoreResponseTimeout = 1500ms;

enum class StoreAccess {
    Served,
    Refused, ///< Calls fail at once.
    Silent, ///< Calls are never answered.
};

/// The platform's store with one table, as several nodes see it.
class SimulatedStore
{
public:
    SimulatedStore(ManualClock &clock, ManualExecutor &executor)
        : m_clock(clock)
        , m_executor(executor)
    {
    }

    void write(const std::string &value)
    {
        m_row = {Key, value, ++m_version, false};
        for (const auto &[id, call] : std::map(m_watches)) {
            if (m_access[call.node] == StoreAccess::Served) {
                answer(id);
            }
        }
    }

    void setAccess(int node, StoreAccess access)
    {
        m_access[node] = access;
        for (const auto &[id, call] : std::map(m_watches)) {
            if (call.node == node && access == StoreAccess::Refused) {
                finish(id, TableAnswer{});
            }
        }
    }

    void read(int node, TableCompletion completion)
    {
        const int id = open(node, 0, std::move(completion));
        if (m_access[node] == StoreAccess::Served) {
            answer(id);
        } else {
            fail(id, 0s);
        }
    }

    void watch(int node, std::uint64_t after, Duration wait, TableCompletion completion)
    {
        const int id = open(node, after, std::move(completion));
        if (m_access[node] != StoreAccess::Served) {
            fail(id, wait);
        } else if (m_row.version > after) {
            answer(id);
        } else {
            m_executor.postAfter(wait, [this, id] {
                if (m_watches.contains(id) && m_access[m_watches.at(id).node] == StoreAccess::Served) {
                    answer(id);
                }
            });
            m_executor.postAfter(wait + StoreResponseTimeout, [this, id] {
                finish(id, TableAnswer{});
            });
        }
    }

    [[nodiscard]] std::uint64_t version() const
    {
        return m_version;
    }

private:
    struct Call {
        int node = 0;
        std::uint64_t after = 0;
        TableCompletion completion;
    };

    int open(int node, std::uint64_t after, TableCompletion completion)
    {
        m_watches[++m_lastId] = {node, after, std::move(completion)};
        return m_lastId;
    }

    void fail(int id, Duration wait)
    {
        const bool refused = m_access[m_watches.at(id).node] == StoreAccess::Refused;
        m_executor.postAfter(refused ? StoreLatency : wait + StoreResponseTimeout, [this, id, refused] {
            TableAnswer answer;
            answer.outcome = refused ? TableOutcome::Refused : TableOutcome::Unknown;
            finish(id, answer);
        });
    }

    void answer(int id)
    {
        TableAnswer answer;
        answer.outcome = TableOutcome::Done;
        answer.version = m_version;
        answer.storeClock = m_clock.elapsed();
        if (m_row.version > m_watches.at(id).after) {
            answer.rows.push_back(m_row);
        }
        m_executor.postAfter(StoreLatency, [this, id, answer] {
            finish(id, answer);
        });
    }

    void finish(int id, const TableAnswer &answer)
    {
        const auto call = m_watches.extract(id);
        if (!call.empty()) {
            call.mapped().completion(answer);
        }
    }

    ManualClock &m_clock;
    ManualExecutor &m_executor;
    std::uint64_t m_version = 0;
    VersionedRow m_row;
    int m_lastId = 0;
    std::map<int, Call> m_watches;
    std::map<int, StoreAccess> m_access;
};

class Fleet;

/// A node that follows the configuration through a ZoneFeed.
class FollowingNode final : private ITableStore, private IZoneWatches, private ITableMirrorListener
{
public:
    FollowingNode(Fleet &fleet, int index, NodeName name, ZoneName zone);

    const NodeName name;
    const ZoneName zone;
    std::uint64_t applied = 0; ///< Version of the configuration row.
    StoreFreshness freshness;

    void start()
    {
        m_mirror.start();
    }
    ZoneFeed &feed()
    {
        return m_feed;
    }

private:
    void read(const std::string &table, const std::string &fromKey, TableCompletion completion) override;
    void
    watch(const std::string &table, std::uint64_t afterVersion, Duration wait, TableCompletion completion) override;
    void write(const ConditionalWrite & /*write*/, TableCompletion /*completion*/) override
    {
    }

    [[nodiscard]] std::optional<NodeName> relay() const override;
    [[nodiscard]] std::vector<NodeName> alternativeSources() override;
    SentWatchId sendWatch(const NodeName &node,
                          TableWatch watch,
                          std::function<void(std::optional<TableChanges>)> completion) override;
    void cancelWatch(SentWatchId watch) override;
    void answerWatch(PeerWatchId watch, TableChanges changes) override;

    void onRow(const VersionedRow &row) override
    {
        applied = row.version;
    }
    void onConfirmed(const StoreConfirmation &confirmation) override
    {
        freshness.confirm(confirmation);
    }
    void onReachable(bool /*reachable*/, TableOutcome /*reason*/) override
    {
    }

    Fleet &m_fleet;
    int m_index;
    SeededRandom m_random;
    ZoneFeed m_feed;
    TableMirror m_mirror;
};

/// Nodes of several zones and the store that they follow.
class Fleet
{
public:
    void add(const std::string &zone, int count)
    {
        for (int i = 1; i <= count; ++i) {
            const auto index = static_cast<int>(nodes.size());
            nodes.push_back(std::make_unique<FollowingNode>(
                *this, index, NodeName(zone + "-" + std::to_string(i)), ZoneName(zone)));
        }
    }

    FollowingNode &node(const std::string &name)
    {
        return **std::find_if(nodes.begin(), nodes.end(), [&name](const auto &node) {
            return node->name.value == name;
        });
    }

    DelayedCall delays()
    {
        return [this](Duration delay, std::function<void()> call) {
            executor.postAfter(delay, std::move(call));
        };
    }

    struct PeerWatch {
        NodeName target;
        std::function<void(std::optional<TableChanges>)> completion;
    };

    ManualClock clock;
    ManualExecutor executor{clock};
    SimulatedStore store{clock, executor};
    std::vector<std::unique_ptr<FollowingNode>> nodes;
    std::map<std::uint64_t, PeerWatch> peerWatches;
    std::uint64_t lastPeerWatch = 0;
};

FollowingNode::FollowingNode(Fleet &fleet, int index, NodeName nodeName, ZoneName zoneName)
    : name(std::move(nodeName))
    , zone(std::move(zoneName))
    , m_fleet(fleet)
    , m_index(index)
    , m_random(testSeed() + static_cast<std::uint64_t>(index))
    , m_feed(*this, fleet.clock, fleet.delays(), *this)
    , m_mirror(m_feed,
               fleet.clock,
               m_random,
               fleet.delays(),
               *this,
               {.table = Table, .watchTimeout = WatchTimeout, .coalescingDelay = Duration{0}})
{
}

void FollowingNode::read(const std::string & /*table*/, const std::string & /*fromKey*/, TableCompletion completion)
{
    m_fleet.store.read(m_index, std::move(completion));
}

void FollowingNode::watch(const std::string & /*table*/,
                          std::uint64_t afterVersion,
                          Duration wait,
                          TableCompletion completion)
{
    m_fleet.store.watch(m_index, afterVersion, wait, std::move(completion));
}

std::optional<NodeName> FollowingNode::relay() const
{
    for (const auto &node : m_fleet.nodes) {
        if (node->zone == zone) {
            return node->name == name ? std::nullopt : std::optional(node->name);
        }
    }
    return std::nullopt;
}

std::vector<NodeName> FollowingNode::alternativeSources()
{
    std::vector<NodeName> own;
    std::map<ZoneName, NodeName> others; // The first node of each other zone.
    for (const auto &node : m_fleet.nodes) {
        if (node->zone != zone) {
            others.try_emplace(node->zone, node->name);
        } else if (node->name != name) {
            own.push_back(node->name);
        }
    }
    for (const auto &[otherZone, node] : others) {
        own.push_back(node);
    }
    return own;
}

SentWatchId FollowingNode::sendWatch(const NodeName &target,
                                     TableWatch watch,
                                     std::function<void(std::optional<TableChanges>)> completion)
{
    const std::uint64_t id = ++m_fleet.lastPeerWatch;
    m_fleet.peerWatches[id] = {target, std::move(completion)};
    m_fleet.executor.postAfter(PeerLatency, [this, id, target, watch] {
        m_fleet.node(target.value).feed().onWatch(PeerWatchId{id}, watch);
    });
    return SentWatchId{id};
}

void FollowingNode::cancelWatch(SentWatchId watch)
{
    const auto cancelled = m_fleet.peerWatches.extract(watch.value);
    if (!cancelled.empty()) {
        m_fleet.node(cancelled.mapped().target.value).feed().onWatchAbandoned(PeerWatchId{watch.value});
    }
}

void FollowingNode::answerWatch(PeerWatchId watch, TableChanges changes)
{
    m_fleet.executor.postAfter(PeerLatency, [this, watch, changes] {
        const auto answered = m_fleet.peerWatches.extract(watch.value);
        if (!answered.empty()) {
            answered.mapped().completion(changes);
        }
    });
}

} // namespace

/// Several nodes follow the configuration while the store serves only some of them.
TEST_GROUP(ZoneFollowing)
{
    Fleet fleet;

    void start()
    {
        fleet.store.write("0");
        for (const auto &node : fleet.nodes) {
            node->start();
        }
        fleet.executor.runFor(3s);
    }

    void setAccess(const std::set<std::string> &names, StoreAccess access)
    {
        for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
            if (names.contains(fleet.nodes[i]->name.value)) {
                fleet.store.setAccess(static_cast<int>(i), access);
            }
        }
    }

    /// Changes the configuration at irregular times and checks after each change that it is in force at every node in
    /// time, and that every node may go on accepting keys.
    void checkChangesAreInForce(int changes)
    {
        SeededRandom random(testSeed());
        for (int i = 0; i < changes; ++i) {
            fleet.executor.runFor(std::chrono::milliseconds(random.below(1500)));
            fleet.store.write(std::to_string(i));
            const std::uint64_t written = fleet.store.version();
            fleet.executor.runFor(ApplyBound);
            for (const auto &node : fleet.nodes) {
                if (node->applied < written) {
                    FAIL(("node " + node->name.value + " has version " + std::to_string(node->applied) + " of "
                          + std::to_string(written))
                             .c_str());
                }
                const auto age = node->freshness.age(fleet.clock.elapsed());
                CHECK(age && *age <= KeyGrace);
            }
        }
    }
};

TEST(ZoneFollowing, changesAreInForceWhileTheStoreServesAllNodes)
{
    fleet.add("a", 4);
    start();
    checkChangesAreInForce(20);
}

// Guards against a confirmed configuration that is not in force in time at a relay that the store refuses (CONFIG).
TEST(ZoneFollowing, changesAreInForceAtARelayThatTheStoreRefuses)
{
    fleet.add("a", 4);
    start();
    setAccess({"a-1"}, StoreAccess::Refused);
    checkChangesAreInForce(20);
}

// Guards against a confirmed configuration that is not in force in time at a refused node whose relay is refused too
// (CONFIG).
TEST(ZoneFollowing, changesAreInForceAtRefusedNodesWhoseRelayIsRefused)
{
    fleet.add("a", 4);
    start();
    setAccess({"a-1", "a-2", "a-4"}, StoreAccess::Refused);
    checkChangesAreInForce(20);
}

// Guards against a confirmed configuration that is not in force in time at nodes whose calls the store does not answer
// (CONFIG).
TEST(ZoneFollowing, changesAreInForceAtNodesWhoseCallsAreNotAnswered)
{
    fleet.add("a", 4);
    start();
    setAccess({"a-1", "a-2"}, StoreAccess::Silent);
    checkChangesAreInForce(40);
}

// Guards against a confirmed configuration that is not in force in time in a zone of which the store refuses every node
// (CONFIG).
TEST(ZoneFollowing, changesAreInForceInAZoneThatTheStoreRefuses)
{
    fleet.add("a", 4);
    fleet.add("b", 3);
    start();
    setAccess({"a-1", "a-2", "a-3", "a-4"}, StoreAccess::Refused);
    checkChangesAreInForce(20);
}

TEST(ZoneFollowing, changesAreInForceInTimeAfterTheEndOfAnOutage)
{
    fleet.add("a", 4);
    fleet.add("b", 3);
    start();
    const std::set<std::string> all{"a-1", "a-2", "a-3", "a-4", "b-1", "b-2", "b-3"};
    setAccess(all, StoreAccess::Refused);
    fleet.executor.runFor(10s);
    setAccess(all, StoreAccess::Served);
    checkChangesAreInForce(10);
}
