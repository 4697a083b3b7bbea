#include "fleet/tests/faketablestore.h"
#include "fleet/zonefeed.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace vanillatack;
using namespace std::chrono_literals;

namespace {

const std::string Config("config");

/// A clock that the test advances. Both of its times include suspensions.
class TestClock final : public IClock
{
public:
    [[nodiscard]] TimePoint now() const override
    {
        return TimePoint(time);
    }
    [[nodiscard]] Duration elapsed() const override
    {
        return time;
    }
    [[nodiscard]] WallTime wallNow() const override
    {
        return {};
    }

    Duration time = 1000s;
};

} // namespace

/// A node that is tested both as a client of the zone relay and as the relay; both access the store directly.
TEST_GROUP(ZoneFeed)
{
    struct Watches final : IZoneWatches {
        struct Sent {
            NodeName node;
            TableWatch watch;
            std::function<void(std::optional<TableChanges>)> completion;
        };

        [[nodiscard]] std::optional<NodeName> relay() const override
        {
            return current;
        }
        [[nodiscard]] std::vector<NodeName> alternativeSources() override
        {
            return alternatives;
        }
        SentWatchId sendWatch(const NodeName &node,
                              TableWatch watch,
                              std::function<void(std::optional<TableChanges>)> completion) override
        {
            sent.push_back({node, std::move(watch), std::move(completion)});
            return SentWatchId{sent.size()};
        }
        void cancelWatch(SentWatchId watch) override
        {
            cancelled.push_back(watch);
        }
        void answerWatch(PeerWatchId watch, TableChanges changes) override
        {
            answers.emplace_back(watch, std::move(changes));
        }

        std::optional<NodeName> current;
        std::vector<NodeName> alternatives;
        std::vector<Sent> sent;
        std::vector<SentWatchId> cancelled;
        std::vector<std::pair<PeerWatchId, TableChanges>> answers;
    };

    TestClock clock;
    FakeTableStore store;
    Watches watches;
    std::vector<std::pair<Duration, std::function<void()>>> timers;
    ZoneFeed feed{store,
                  clock,
                  [this](Duration delay, std::function<void()> call) {
                      timers.emplace_back(clock.time + delay, std::move(call));
                  },
                  watches};
    std::vector<TableAnswer> answers;

    void watch(std::uint64_t after)
    {
        feed.watch(Config, after, 1s, [this](TableAnswer answer) {
            answers.push_back(std::move(answer));
        });
    }

    /// Watches the store once, so that the feed has a copy to serve as the relay.
    void fillCopy()
    {
        store.put("a", "1");
        watch(0);
        store.answer();
    }

    void advance(Duration time)
    {
        clock.time += time;
        for (auto &[due, call] : timers) {
            if (due <= clock.time && call) {
                std::exchange(call, nullptr)();
            }
        }
    }

    static TableChanges known(std::uint64_t version, Duration confirmedAfter)
    {
        TableChanges changes;
        changes.known = true;
        changes.version = version;
        changes.confirmedAfter = confirmedAfter;
        return changes;
    }
};

TEST(ZoneFeed, withoutARelayTheStoreIsWatched)
{
    store.put("a", "1");
    watch(0);
    LONGS_EQUAL(1, store.calls.size());
    store.answer();
    LONGS_EQUAL(1, answers.at(0).rows.size());
    CHECK(!answers[0].confirmedAt.has_value());
}

TEST(ZoneFeed, theRelaysAnswerNeedsNoStoreCallAndHasItsConfirmationTime)
{
    watches.current = NodeName("s");
    watch(3);
    LONGS_EQUAL(0, store.calls.size());
    LONGS_EQUAL(3, watches.sent.at(0).watch.afterVersion);
    advance(600ms);
    watches.sent[0].completion(known(3, 550ms));
    LONGS_EQUAL(3, answers.at(0).version);
    CHECK(*answers[0].confirmedAt == 1000s + 550ms);
    LONGS_EQUAL(0, store.calls.size());
}

TEST(ZoneFeed, versionsNeverDecreaseWhenTheRelayIsBehind)
{
    watches.current = NodeName("s");
    watch(8);
    watches.sent[0].completion(known(5, 0ms));
    LONGS_EQUAL(8, answers.at(0).version);
}

TEST(ZoneFeed, aRelayThatHasNotNoticedTheNewEraOfTheStoreIsNotUsed)
{
    watches.current = NodeName("s");
    watch(makeStoreVersion(2, 3));
    watches.sent[0].completion(known(makeStoreVersion(1, 900), 0ms));
    LONGS_EQUAL(0, answers.size());
    LONGS_EQUAL(1, store.calls.size());
}

// The relay has read the table of the new era; the changes before it are not known.
TEST(ZoneFeed, aRelayEndsTheWatchesFromAnEarlierEra)
{
    fillCopy();
    feed.onWatch(PeerWatchId{1}, {.requestId = 0, .table = Config, .afterVersion = 1, .wait = 1s});
    store.restore(1);
    feed.read(Config, {}, [](const TableAnswer &) {});
    store.answer();
    LONGS_EQUAL(1, watches.answers.size());
    CHECK(!watches.answers[0].second.known);
}

TEST(ZoneFeed, aRelayWithAnOutdatedOrMissingCopyIsNotUsed)
{
    const auto checkStoreIsWatched = [this](std::size_t calls) {
        LONGS_EQUAL(1, store.calls.size());
        LONGS_EQUAL(calls - 1, answers.size());
        store.answer();
        LONGS_EQUAL(calls, answers.size());
        advance(3s);
    };
    watches.current = NodeName("s");
    watch(3);
    advance(1s);
    watches.sent[0].completion(known(3, -2s)); // Three seconds old.
    checkStoreIsWatched(1);
    watch(3);
    watches.sent.at(1).completion(TableChanges{});
    checkStoreIsWatched(2);
    watch(3);
    watches.sent.at(2).completion(std::nullopt);
    checkStoreIsWatched(3);
}

// Guards against a configuration that is not in force in time at a node that the store refuses (CONFIG).
TEST(ZoneFeed, aNodeThatTheStoreRefusesWatchesTheOtherNodesInTurn)
{
    watches.alternatives = {NodeName("x"), NodeName("y")};
    watch(3);
    store.finish(TableOutcome::Refused);
    STRCMP_EQUAL("x", watches.sent.at(0).node.value.c_str());
    watches.sent[0].completion(TableChanges{});
    STRCMP_EQUAL("y", watches.sent.at(1).node.value.c_str());
    watches.sent[1].completion(known(4, 0ms));
    LONGS_EQUAL(4, answers.at(0).version);
    // The store is not asked again until its avoidance time is over.
    watch(4);
    LONGS_EQUAL(0, store.calls.size());
    LONGS_EQUAL(3, watches.sent.size());
    watches.sent[2].completion(known(4, 0ms));
    advance(3s);
    watch(4);
    LONGS_EQUAL(1, store.calls.size());
}

TEST(ZoneFeed, aWatchThatNoSourceServesEndsWithTheOutcomeOfTheStore)
{
    watches.alternatives = {NodeName("x")};
    watch(3);
    store.finish(TableOutcome::Refused);
    watches.sent.at(0).completion(std::nullopt);
    LONGS_EQUAL(1, answers.size());
    CHECK(answers[0].outcome == TableOutcome::Refused);
}

TEST(ZoneFeed, aSlowStoreStillServesTheWatchWhileOtherNodesAreAsked)
{
    watches.alternatives = {NodeName("x")};
    store.put("a", "1");
    watch(0);
    advance(800ms);
    watches.sent.at(0).completion(TableChanges{});
    LONGS_EQUAL(0, answers.size());
    advance(150ms);
    LONGS_EQUAL(2, watches.sent.size());
    store.answer();
    LONGS_EQUAL(1, answers.at(0).rows.size());
    watches.sent[1].completion(known(7, 0ms));
    LONGS_EQUAL(1, answers.size());
}

TEST(ZoneFeed, aChangeIsReceivedInTimeWhenTheRelayIsCutOffFromTheStore)
{
    // The relay's copy was last confirmed early in the watch; the store must be watched when the watch ends, not later.
    watches.current = NodeName("s");
    watch(3);
    advance(1s);
    watches.sent[0].completion(known(3, 290ms));
    LONGS_EQUAL(1, store.calls.size());
    // The relay is not used until its avoidance time is over.
    watch(3);
    LONGS_EQUAL(2, store.calls.size());
    advance(3s);
    watch(3);
    LONGS_EQUAL(2, store.calls.size());
}

TEST(ZoneFeed, aRelayThatDoesNotAnswerIsNotUsedAndItsLateAnswerIgnored)
{
    watches.current = NodeName("s");
    watch(3);
    advance(1600ms);
    LONGS_EQUAL(1, watches.cancelled.size());
    LONGS_EQUAL(1, store.calls.size());
    watches.sent[0].completion(known(4, 0ms));
    LONGS_EQUAL(0, answers.size());
}

TEST(ZoneFeed, theRelayAnswersAtOnceWhenThereAreChanges)
{
    fillCopy();
    feed.onWatch(PeerWatchId{7}, {.requestId = 0, .table = Config, .afterVersion = 0, .wait = 1s});
    LONGS_EQUAL(1, watches.answers.size());
    LONGS_EQUAL(1, watches.answers[0].second.rows.size());
    feed.onWatch(PeerWatchId{8}, {.requestId = 0, .table = Config, .afterVersion = 1, .wait = 1s});
    LONGS_EQUAL(1, watches.answers.size());
    store.put("a", "2");
    store.remove("a");
    watch(1);
    store.answer();
    LONGS_EQUAL(2, watches.answers.size());
    CHECK(watches.answers[1].second.rows.at(0).deleted);
    LONGS_EQUAL(3, watches.answers[1].second.version);
}

TEST(ZoneFeed, theRelayAnswersWhenItsCopyIsConfirmedDuringTheWatch)
{
    fillCopy();
    feed.onWatch(PeerWatchId{7}, {.requestId = 0, .table = Config, .afterVersion = 1, .wait = 1s});
    advance(600ms);
    LONGS_EQUAL(0, watches.answers.size());
    watch(1);
    store.answer();
    LONGS_EQUAL(1, watches.answers.size());
    CHECK(watches.answers[0].second.confirmedAfter == 600ms);
}

// Guards against nodes that wait for a relay which has lost the store (CONFIG).
TEST(ZoneFeed, aRelayThatLosesTheStoreEndsTheWatchesOfOtherNodes)
{
    fillCopy();
    feed.onWatch(PeerWatchId{7}, {.requestId = 0, .table = Config, .afterVersion = 1, .wait = 1s});
    watch(1);
    store.finish(TableOutcome::Refused);
    LONGS_EQUAL(1, watches.answers.size());
    CHECK(!watches.answers[0].second.known);
}

// Guards against nodes without the store that wait for each other (CONFIG).
TEST(ZoneFeed, aNodeThatWatchesAnotherNodeServesOnlyTheChangesThatItHas)
{
    watches.current = NodeName("s");
    watch(0);
    TableChanges changes = known(2, 0ms);
    changes.rows.push_back({"a", "1", 2, false});
    watches.sent.at(0).completion(changes);
    feed.onWatch(PeerWatchId{7}, {.requestId = 0, .table = Config, .afterVersion = 1, .wait = 1s});
    LONGS_EQUAL(1, watches.answers.at(0).second.rows.size());
    feed.onWatch(PeerWatchId{8}, {.requestId = 0, .table = Config, .afterVersion = 2, .wait = 1s});
    CHECK(!watches.answers.at(1).second.known);
}

// Guards against nodes that wait for a relay which has read the table again after the store had dropped its history
// (CONFIG).
TEST(ZoneFeed, aRelayThatReadsTheTableAgainEndsTheWatchesThatItCannotServe)
{
    fillCopy();
    feed.onWatch(PeerWatchId{7}, {.requestId = 0, .table = Config, .afterVersion = 1, .wait = 1s});
    store.put("a", "2");
    feed.read(Config, {}, [](const TableAnswer &) {});
    store.answer();
    LONGS_EQUAL(1, watches.answers.size());
    CHECK(!watches.answers[0].second.known);
    // The next watch can be served from the read on.
    feed.onWatch(PeerWatchId{8}, {.requestId = 0, .table = Config, .afterVersion = 2, .wait = 1s});
    LONGS_EQUAL(1, watches.answers.size());
    store.put("a", "3");
    watch(2);
    store.answer();
    LONGS_EQUAL(2, watches.answers.size());
    LONGS_EQUAL(1, watches.answers[1].second.rows.size());
}

TEST(ZoneFeed, aReadOfSeveralPagesIsNotTakenForACompleteCopy)
{
    store.pageSize = 1;
    store.put("a", "1");
    store.put("b", "1");
    feed.read(Config, {}, [](const TableAnswer &) {});
    store.answer();
    feed.read(Config, "b", [](const TableAnswer &) {});
    store.answer();
    feed.onWatch(PeerWatchId{7}, {.requestId = 0, .table = Config, .afterVersion = 2, .wait = 1s});
    CHECK(!watches.answers.at(0).second.known);
}

TEST(ZoneFeed, withoutConfirmationTheRelayReportsTheAgeOfItsCopy)
{
    fillCopy();
    advance(2s);
    feed.onWatch(PeerWatchId{7}, {.requestId = 0, .table = Config, .afterVersion = 1, .wait = 1s});
    advance(1s);
    LONGS_EQUAL(1, watches.answers.size());
    CHECK(watches.answers[0].second.known);
    CHECK(watches.answers[0].second.confirmedAfter <= -2s);
}

TEST(ZoneFeed, aRelayReportsMissingHistoryAsUnknown)
{
    for (int i = 0; i < 5; ++i) {
        store.put("a", "1");
    }
    watch(4);
    store.answer();
    feed.onWatch(PeerWatchId{7}, {.requestId = 0, .table = Config, .afterVersion = 2, .wait = 1s});
    LONGS_EQUAL(1, watches.answers.size());
    CHECK(!watches.answers[0].second.known);
    feed.onWatch(PeerWatchId{8}, {.requestId = 0, .table = "other", .afterVersion = 2, .wait = 1s});
    LONGS_EQUAL(2, watches.answers.size());
    CHECK(!watches.answers[1].second.known);
}

TEST(ZoneFeed, abandonedWatchesAreNotAnswered)
{
    fillCopy();
    feed.onWatch(PeerWatchId{7}, {.requestId = 0, .table = Config, .afterVersion = 1, .wait = 1s});
    feed.onWatchAbandoned(PeerWatchId{7});
    advance(2s);
    LONGS_EQUAL(0, watches.answers.size());
}
