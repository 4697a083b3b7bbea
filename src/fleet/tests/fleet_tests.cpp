#include "fleet/failuredetector.h"
#include "fleet/nodedirectory.h"
#include "fleet/nodeentrycodec.h"
#include "fleet/noderegistry.h"
#include "fleet/tests/faketablestore.h"

#include <CppUTest/TestHarness.h>

using namespace vanillatack;
using namespace std::chrono_literals;

namespace {

const TimePoint Start(1000s);
const ServiceName Service("osat");

NodeEntry entry(const std::string &node, const std::string &zone, bool accepting = true)
{
    NodeEntry result;
    result.node = NodeName(node);
    result.zone = ZoneName(zone);
    result.peerEndpoint = {"10.0.0.1", 7000};
    result.service = Service;
    result.nodeStartedAtMs = 5;
    result.instance = "i-" + node;
    result.slots = 10;
    result.accepting = accepting;
    return result;
}

class RecordingMirrorListener final : public ITableMirrorListener
{
public:
    void onRow(const VersionedRow &row) override
    {
        received.push_back(row);
    }
    void onConfirmed(const StoreConfirmation & /*confirmation*/) override
    {
        ++confirmed;
    }
    void onReachable(bool isReachable, TableOutcome /*reason*/) override
    {
        reachable = isReachable;
    }

    std::vector<VersionedRow> received;
    int confirmed = 0;
    bool reachable = true;
};

class RecordingRegistryListener final : public INodeRegistryListener
{
public:
    void onNode(const NodeEntry &item) override
    {
        nodes[item.node] = item;
    }
    void onNodeRemoved(const NodeName &node) override
    {
        nodes.erase(node);
    }
    void onOwnNode(const NodeEntry &item) override
    {
        own = item;
    }
    void onRegistryConfirmed() override
    {
        ++confirmed;
    }

    std::map<NodeName, NodeEntry> nodes;
    std::optional<NodeEntry> own;
    int confirmed = 0;
};

} // namespace

TEST_GROUP(TableMirror)
{
    FakeTableStore store;
    FakeDelays delays;
    ManualClock clock;
    SeededRandom random{1};
    RecordingMirrorListener listener;
    TableMirror mirror{store, clock, random, delays.function(), listener, {.table = "t"}};
};

TEST(TableMirror, readsInPagesThenWatches)
{
    store.pageSize = 2;
    for (const char *key : {"a", "b", "c", "d", "e"}) {
        store.put(key, "1");
    }
    mirror.start();
    store.answer();
    store.answer();
    CHECK(!mirror.loaded());
    store.answer();
    CHECK(mirror.loaded());
    LONGS_EQUAL(5, mirror.rows().size());
    store.put("b", "2");
    store.remove("c");
    store.answer();
    STRCMP_EQUAL("2", mirror.rows().at("b").value.c_str());
    LONGS_EQUAL(4, mirror.rows().size());
}

TEST(TableMirror, anExpiredHistoryCausesANewReadThatReportsRemovedRows)
{
    store.put("a", "1");
    store.put("b", "1");
    mirror.start();
    store.answer();
    store.remove("a");
    store.finish(TableOutcome::HistoryGone);
    store.answer();
    LONGS_EQUAL(1, mirror.rows().size());
    CHECK(listener.received.back().deleted || listener.received.size() == 3);
    STRCMP_EQUAL("watch", store.calls.front().kind.c_str());
}

TEST(TableMirror, olderVersionsChangeNothing)
{
    store.put("a", "1");
    store.put("a", "2");
    mirror.start();
    store.answer();
    FakeTableStore::Call watch = store.calls.front();
    store.calls.pop_front();
    TableAnswer stale;
    stale.outcome = TableOutcome::Done;
    stale.version = 1;
    stale.rows = {{"a", "1", 1, false}};
    watch.completion(stale);
    STRCMP_EQUAL("2", mirror.rows().at("a").value.c_str());
    CHECK(store.calls.front().after >= 2);
}

// A store that comes back from an older copy gives out the same versions again.
TEST(TableMirror, theSameNumberInALaterEraIsAnotherRow)
{
    store.put("a", "1");
    store.put("a", "2");
    mirror.start();
    store.answer();
    store.restore(1);
    store.put("a", "other 2");
    store.answer(); // The watch.
    store.answer(); // The read.
    STRCMP_EQUAL("other 2", mirror.rows().at("a").value.c_str());
    LONGS_EQUAL(2, storeNumberOf(mirror.rows().at("a").version));
}

TEST(TableMirror, anAnswerOfAnEarlierEraChangesNothing)
{
    store.put("a", "1");
    mirror.start();
    store.answer();
    store.restore(1);
    store.put("a", "new");
    store.answer();
    store.answer();
    FakeTableStore::Call watch = store.calls.front();
    store.calls.pop_front();
    TableAnswer late;
    late.outcome = TableOutcome::Done;
    late.version = 900;
    late.rows = {{"a", "late", 900, false}};
    watch.completion(late);
    STRCMP_EQUAL("new", mirror.rows().at("a").value.c_str());
    CHECK(store.calls.front().after == store.version);
}

TEST(TableMirror, rowsThatAnOlderCopyLacksAreKeptUntilTheyAreWrittenAgainOrTheTimeIsOver)
{
    store.put("a", "1");
    mirror.start();
    store.answer();
    store.put("b", "1");
    store.put("c", "1");
    store.answer();
    store.restore(1);
    store.answer(); // The watch ends.
    store.answer(); // The read lacks "b" and "c".
    LONGS_EQUAL(3, mirror.rows().size());
    CHECK(!mirror.isUnconfirmed("a"));
    CHECK(mirror.isUnconfirmed("b"));
    store.put("b", "again");
    store.answer();
    CHECK(!mirror.isUnconfirmed("b"));
    clock.advance(2s);
    delays.runAll();
    LONGS_EQUAL(3, mirror.rows().size());
    CHECK(!std::any_of(listener.received.begin(), listener.received.end(), [](const VersionedRow &row) {
        return row.deleted;
    }));
}

TEST(TableMirror, rowsThatAreNotWrittenAgainAreDropped)
{
    mirror.start();
    store.answer();
    store.put("b", "1");
    store.answer();
    store.restore(0);
    store.answer();
    store.answer();
    clock.advance(3s);
    delays.runAll();
    CHECK(mirror.rows().empty());
    CHECK(listener.received.back().deleted);
    // Twice in a row.
    store.put("b", "2");
    store.answer();
    store.restore(0);
    store.answer();
    store.answer();
    LONGS_EQUAL(1, mirror.rows().size());
    clock.advance(2s);
    store.restore(0);
    store.answer();
    store.answer();
    clock.advance(2s);
    delays.runAll(); // Of the first return.
    LONGS_EQUAL(1, mirror.rows().size());
}

TEST(TableMirror, pagesOfDifferentCopiesAreNotMixed)
{
    store.pageSize = 2;
    for (const char *key : {"a", "b", "c"}) {
        store.put(key, "1");
    }
    mirror.start();
    store.answer(); // The first page.
    store.restore(2);
    store.answer(); // The second page, of another copy.
    store.answer();
    CHECK(mirror.loaded());
    LONGS_EQUAL(2, mirror.rows().size());
    LONGS_EQUAL(1, storeEraOf(mirror.rows().at("a").version));
}

TEST(TableMirror, retriesAfterFailuresUntilReachable)
{
    mirror.start();
    for (int i = 0; i < 3; ++i) {
        store.finish(i % 2 == 0 ? TableOutcome::Refused : TableOutcome::Unknown);
        CHECK(!listener.reachable);
        LONGS_EQUAL(0, store.calls.size());
        delays.runAll();
    }
    store.answer();
    CHECK(listener.reachable);
    LONGS_EQUAL(1, listener.confirmed);
}

TEST_GROUP(NodeRegistry)
{
    FakeTableStore store;
    FakeDelays delays;
    ManualClock clock;
    SeededRandom random{1};
    RecordingRegistryListener listener;
    NodeRegistry registry{store, clock, random, delays.function(), listener, NodeName("n1")};

    /// Answers calls until only a watch without changes is pending.
    void settle()
    {
        for (int i = 0; i < 20; ++i) {
            delays.runAll();
            if (!store.calls.empty() && store.calls.front().kind == "watch") {
                if (store.calls.size() == 1) {
                    if (store.calls.front().after >= store.version) {
                        return;
                    }
                    store.answer();
                    continue;
                }
                std::rotate(store.calls.begin(), store.calls.begin() + 1, store.calls.end());
            }
            if (!store.calls.empty()) {
                store.answer();
            }
        }
    }
};

TEST(NodeRegistry, writesTheOwnRowAndReceivesTheOthers)
{
    registry.publish(entry("n1", "a"));
    registry.start();
    store.put("n2", formatNodeEntry(entry("n2", "b")));
    settle();
    CHECK(parseNodeEntry(store.rows.at("n1").value).value() == entry("n1", "a"));
    CHECK(listener.nodes.at(NodeName("n2")) == entry("n2", "b"));
    store.remove("n2");
    settle();
    CHECK(!listener.nodes.contains(NodeName("n2")));
}

TEST(NodeRegistry, replacesTheRowOfAnEarlierProcess)
{
    store.put("n1", formatNodeEntry(entry("n1", "a", false)));
    registry.publish(entry("n1", "a"));
    registry.start();
    settle();
    CHECK(parseNodeEntry(store.rows.at("n1").value).value().accepting);
}

TEST(NodeRegistry, aLostAnswerDoesNotLeaveAnOutdatedRow)
{
    registry.publish(entry("n1", "a"));
    registry.start();
    store.answer(); // The read; the write follows.
    while (store.calls.front().kind != "write") {
        std::rotate(store.calls.begin(), store.calls.begin() + 1, store.calls.end());
    }
    store.finish(TableOutcome::Unknown, true);
    registry.publish(entry("n1", "a", false));
    settle();
    settle();
    CHECK(!parseNodeEntry(store.rows.at("n1").value).value().accepting);
}

TEST(NodeRegistry, rewritesItsRowAfterItsRemoval)
{
    registry.publish(entry("n1", "a"));
    registry.start();
    settle();
    store.remove("n1");
    settle();
    settle();
    CHECK(store.rows.contains("n1"));
}

// What a node relies on is written again when the store has come back from an older copy.
TEST(NodeRegistry, writesItsRowAgainThatAnOlderCopyLacksAndKeepsTheOthers)
{
    registry.publish(entry("n1", "a"));
    registry.start();
    store.put("n2", formatNodeEntry(entry("n2", "b")));
    settle();
    CHECK(store.rows.contains("n1"));
    store.restore(0);
    settle();
    settle();
    CHECK(parseNodeEntry(store.rows.at("n1").value).value() == entry("n1", "a"));
    LONGS_EQUAL(1, storeEraOf(store.rows.at("n1").version));
    CHECK(listener.nodes.contains(NodeName("n2")));
}

TEST(NodeRegistry, writesItsRowAgainThatAnOlderCopyHasInAnEarlierState)
{
    registry.publish(entry("n1", "a"));
    registry.start();
    settle();
    const std::uint64_t copy = store.version;
    NodeEntry left = entry("n1", "a", false);
    left.departures = {{.instance = "i-n1", .startedAtMs = 5}};
    registry.publish(left);
    settle();
    store.restore(copy);
    settle();
    settle();
    CHECK(parseNodeEntry(store.rows.at("n1").value).value() == left);
}

// A process learns what an earlier one has acknowledged before it replaces the row.
TEST(NodeRegistry, reportsTheOwnRowOfAnEarlierProcessBeforeItIsReplaced)
{
    NodeEntry earlier = entry("n1", "a", false);
    earlier.departures = {{.instance = "i-1", .startedAtMs = 5}, {.instance = "i-2", .startedAtMs = 6}};
    store.put("n1", formatNodeEntry(earlier));
    registry.publish(entry("n1", "a"));
    registry.start();
    LONGS_EQUAL(0, listener.confirmed);
    store.answer(); // The read.
    CHECK(listener.own == earlier);
    LONGS_EQUAL(1, listener.confirmed);
    settle();
    CHECK(listener.own == entry("n1", "a"));
}

TEST(NodeRegistry, anEntryOfAnEarlierVersionHasNoDepartures)
{
    const std::string text = formatNodeEntry(entry("n2", "a"));
    CHECK(text.find("departures") == std::string::npos);
    CHECK(parseNodeEntry(text).value().departures.empty());
    NodeEntry tooMany = entry("n2", "a");
    tooMany.departures.resize(MaxDepartures + 1);
    CHECK(parseNodeEntry(formatNodeEntry(tooMany)).has_error());
}

TEST(NodeRegistry, ignoresRowsThatCannotBeParsed)
{
    registry.start();
    store.put("n2", "{\"node\":7}");
    store.put("n3", "\xff\xfe");
    store.put("n4", formatNodeEntry(entry("n4", "a")));
    settle();
    LONGS_EQUAL(1, listener.nodes.size());
}

// Guards against a row that ends the process because a text in it is not UTF-8.
TEST(NodeRegistry, anEntryWithUnreadableTextIsFormattedAllTheSame)
{
    NodeEntry odd = entry("n2", "a");
    odd.instance = "i-\xff\xfe";
    CHECK(parseNodeEntry(formatNodeEntry(odd)).has_value());
}

// Guards against one entry of another writer that ends the process or names a node that cannot exist.
TEST(NodeRegistry, ignoresEntriesWithImpossibleValues)
{
    const std::string valid = formatNodeEntry(entry("n2", "a"));
    const auto replaced = [&valid](const std::string &from, const std::string &to) {
        std::string text = valid;
        return text.replace(text.find(from), from.size(), to);
    };
    const std::string port = "\"port\":" + std::to_string(entry("n2", "a").peerEndpoint.port);
    const std::string slots = "\"slots\":" + std::to_string(entry("n2", "a").slots);
    const std::vector<std::string> texts{std::string(200000, '['),
                                         std::string(200000, '[') + std::string(200000, ']'),
                                         replaced(port, "\"port\":70000"),
                                         replaced(port, "\"port\":0"),
                                         replaced(port, "\"port\":-1"),
                                         replaced(port, "\"port\":80.5"),
                                         replaced(slots, "\"slots\":1e300"),
                                         replaced(slots, "\"slots\":1e400"),
                                         replaced(slots, "\"slots\":99999999999"),
                                         replaced(slots, "\"slots\":-3"),
                                         replaced("\"10.", "\"a10."),
                                         replaced("\"n2\"", "\"n3\"")};
    registry.start();
    settle();
    for (const std::string &text : texts) {
        store.put("n2", text);
        settle();
        CHECK(listener.nodes.empty());
    }
    store.put("n4", formatNodeEntry(entry("n4", "a")));
    settle();
    LONGS_EQUAL(1, listener.nodes.size());
}

TEST_GROUP(NodeDirectory)
{
    NodeDirectory directory{ZoneName("a")};
    SeededRandom random{3};

    std::map<std::string, int> chooseMany(int count)
    {
        std::map<std::string, int> chosen;
        for (int i = 0; i < count; ++i) {
            const auto node = directory.choose(Service, {}, random, Start);
            if (node) {
                ++chosen[node->node.value];
                directory.finish(node->node, CallOutcome::Served, Start);
            }
        }
        return chosen;
    }

    void report(const std::string &node, int running)
    {
        NodeReport item;
        item.node = NodeName(node);
        item.startedAtMs = 5;
        item.sequence = ++sequence;
        item.running = running;
        directory.recordReport(item, Start);
    }

    std::uint64_t sequence = 0;
};

TEST(NodeDirectory, keepsCallsInTheOwnZoneWhileItHasCapacity)
{
    directory.update(entry("own", "a"));
    directory.update(entry("far", "b"));
    const int ownCount = chooseMany(50)["own"];
    LONGS_EQUAL(50, ownCount);
}

TEST(NodeDirectory, sendsCallsToOtherZonesWhenTheOwnIsFull)
{
    directory.update(entry("own", "a"));
    directory.update(entry("far", "b"));
    report("own", 10);
    report("far", 1);
    CHECK(chooseMany(8)["far"] >= 5);
}

TEST(NodeDirectory, anInstanceWhoseNodeUsesFewSlotsIsFullEarlier)
{
    directory.update(entry("own", "a"));
    directory.update(entry("far", "b"));
    report("far", 1);
    NodeReport limited;
    limited.node = NodeName("own");
    limited.startedAtMs = 5;
    limited.sequence = ++sequence;
    limited.slots = 3;
    limited.running = 3;
    directory.recordReport(limited, Start);
    CHECK(chooseMany(8)["far"] >= 5);
}

TEST(NodeDirectory, aZoneWithoutReportsGetsNoCallsWhileTheOwnHasAnInstance)
{
    // A zone is cut off while the own zone is full; according to its last reports it has capacity.
    directory.update(entry("own", "a"));
    directory.update(entry("far", "b"));
    report("own", 10);
    report("far", 1);
    NodeReport full;
    full.node = NodeName("own");
    full.startedAtMs = 5;
    full.sequence = ++sequence;
    full.running = 10;
    directory.recordReport(full, Start + 1s);
    for (int i = 0; i < 20; ++i) {
        STRCMP_EQUAL("own", directory.choose(Service, {}, random, Start + 1s)->node.value.c_str());
    }
    STRCMP_EQUAL("far", directory.choose(Service, {NodeName("own")}, random, Start + 1s)->node.value.c_str());
}

TEST(NodeDirectory, doesNotChooseNodesThatDoNotAccept)
{
    directory.update(entry("own", "a", false));
    CHECK(!directory.choose(Service, {}, random, Start));
    directory.update(entry("far", "b"));
    CHECK(!directory.choose(Service, {NodeName("far")}, random, Start));
    CHECK(!directory.choose(ServiceName("kassa"), {}, random, Start));
}

TEST(NodeDirectory, anInstanceThatFailsHalfItsRequestsGetsFewer)
{
    directory.update(entry("good", "a"));
    directory.update(entry("failing", "a"));
    for (int i = 0; i < 40; ++i) {
        directory.finish(NodeName("failing"), i % 2 == 0 ? CallOutcome::Failed : CallOutcome::Served, Start);
    }
    std::map<std::string, int> chosen;
    for (int i = 0; i < 6; ++i) {
        ++chosen[directory.choose(Service, {}, random, Start)->node.value];
    }
    CHECK(chosen["good"] >= 4);
}

TEST(NodeDirectory, avoidsUnreachableNodesTemporarily)
{
    directory.update(entry("one", "a"));
    directory.update(entry("two", "a"));
    directory.finish(NodeName("one"), CallOutcome::Unreachable, Start);
    const int unreachableCount = chooseMany(20)["one"];
    LONGS_EQUAL(0, unreachableCount);
    CHECK(directory.choose(Service, {NodeName("two")}, random, Start).has_value());
}

TEST(NodeDirectory, ignoresEntriesAndReportsOfEarlierProcesses)
{
    NodeEntry newer = entry("one", "a");
    newer.nodeStartedAtMs = 9;
    directory.update(newer);
    directory.update(entry("one", "a", false));
    CHECK(directory.find(NodeName("one"))->accepting);
    NodeReport report;
    report.node = NodeName("one");
    report.startedAtMs = 9;
    report.sequence = 2;
    report.running = 3;
    directory.recordReport(report, Start);
    report.startedAtMs = 5;
    report.sequence = 70;
    report.running = 9;
    directory.recordReport(report, Start);
    LONGS_EQUAL(3, directory.reports(1s, Start).front().running);
    LONGS_EQUAL(0, directory.reports(1s, Start + 2s).size());
}
