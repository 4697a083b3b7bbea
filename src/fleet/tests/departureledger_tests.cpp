#include "fleet/departureledger.h"

#include <optional>

#include <CppUTest/TestHarness.h>

using namespace vanillatack;
using namespace std::chrono_literals;

namespace {

const TimePoint Start(1000s);
const NodeName Self("n1");
const Departure Left{.instance = "i-1", .startedAtMs = 5};

class FakeHost final : public IDepartureLedgerHost
{
public:
    [[nodiscard]] std::vector<DepartureKeeper> keepers() const override
    {
        return nodes;
    }
    [[nodiscard]] std::vector<DepartureKeeper> formerKeepers() const override
    {
        return nodes;
    }
    void sendNote(const Endpoint & /*node*/, const DepartureNote &note) override
    {
        sent.push_back(note);
    }
    void onDeparturesRestored(const std::vector<Departure> &departures) override
    {
        restored.insert(restored.end(), departures.begin(), departures.end());
    }
    void onRecovered(const std::string & /*reason*/) override
    {
        recovered = true;
    }

    std::vector<DepartureKeeper> nodes{{NodeName("n2"), {"10.0.0.2", 7000}},
                                       {NodeName("n3"), {"10.0.0.3", 7000}},
                                       {NodeName("n4"), {"10.0.0.4", 7000}}};
    std::vector<DepartureNote> sent;
    std::vector<Departure> restored;
    bool recovered = false;
};

} // namespace

TEST_GROUP(DepartureLedger)
{
    FakeHost host;
    DepartureLedger ledger{Self, 100, host};
    std::optional<bool> kept;

    void addAndAwait()
    {
        ledger.add(Left, Start);
        ledger.await(Left.instance, Left.startedAtMs, Start, [this](bool result) {
            kept = result;
        });
    }

    DepartureNote reply(const std::string &sender, DepartureNoteKind kind, std::vector<Departure> departures = {}) const
    {
        return {.kind = kind,
                .node = Self,
                .sender = NodeName(sender),
                .noteId = host.sent.back().noteId,
                .departures = std::move(departures)};
    }

    void confirm(const std::string &keeper, TimePoint now)
    {
        ledger.onReply(reply(keeper, DepartureNoteKind::Kept), endpointOf(keeper), now);
    }

    void tell(const std::string &keeper, TimePoint now, std::vector<Departure> departures = {})
    {
        ledger.onReply(reply(keeper, DepartureNoteKind::Told, std::move(departures)), endpointOf(keeper), now);
    }

    Endpoint endpointOf(const std::string &keeper) const
    {
        for (const DepartureKeeper &node : host.nodes) {
            if (node.node.value == keeper) {
                return node.endpoint;
            }
        }
        return {};
    }
};

TEST(DepartureLedger, acknowledgesAtOnceWhatTheStoreAndAllKeepersHave)
{
    addAndAwait();
    LONGS_EQUAL(3, host.sent.size());
    ledger.onStored({Left}, Start + 5ms);
    confirm("n2", Start + 6ms);
    confirm("n3", Start + 6ms);
    CHECK(!kept.has_value());
    confirm("n4", Start + 7ms);
    CHECK(kept == true);
    CHECK(!ledger.hasPendingWork());
}

TEST(DepartureLedger, theStoreAloneIsEnoughWhenKeepersDoNotAnswer)
{
    addAndAwait();
    ledger.onStored({Left}, Start + 5ms);
    ledger.check(Start + 249ms);
    CHECK(!kept.has_value());
    ledger.check(Start + 250ms);
    CHECK(kept == true);
}

TEST(DepartureLedger, twoKeepersAreEnoughWhenTheStoreIsAway)
{
    addAndAwait();
    confirm("n2", Start + 1ms);
    ledger.check(Start + 300ms);
    CHECK(!kept.has_value());
    confirm("n4", Start + 301ms);
    CHECK(kept == true);
}

TEST(DepartureLedger, nothingIsAcknowledgedThatOnlyThisProcessHas)
{
    addAndAwait();
    for (Duration waited = 0ms; waited < 900ms; waited += 50ms) {
        ledger.check(Start + waited);
        CHECK(!kept.has_value());
    }
    ledger.check(Start + 900ms);
    CHECK(kept == false);
    // It goes on trying, and the instance asks again.
    CHECK(ledger.hasPendingWork());
    ledger.onStored({Left}, Start + 2s);
    ledger.await(Left.instance, Left.startedAtMs, Start + 2s, [this](bool result) {
        kept = result;
    });
    CHECK(kept == true);
}

TEST(DepartureLedger, anAnswerToAnEarlierNoteConfirmsNothing)
{
    ledger.add({.instance = "i-0", .startedAtMs = 4}, Start);
    const DepartureNote earlier = reply("n2", DepartureNoteKind::Kept);
    addAndAwait();
    ledger.onReply(earlier, endpointOf("n2"), Start);
    DepartureNote ofAnotherProcess = reply("n3", DepartureNoteKind::Kept);
    ofAnotherProcess.noteId += 1000;
    ledger.onReply(ofAnotherProcess, endpointOf("n3"), Start);
    ledger.check(Start + 500ms);
    CHECK(!kept.has_value());
}

TEST(DepartureLedger, notesAreRepeatedOnlyToKeepersThatHaveNotConfirmed)
{
    addAndAwait();
    confirm("n2", Start);
    host.sent.clear();
    ledger.check(Start + 49ms);
    LONGS_EQUAL(0, host.sent.size());
    ledger.check(Start + 50ms);
    LONGS_EQUAL(2, host.sent.size());
}

TEST(DepartureLedger, aDepartureThatWasDisplacedByManyOthersIsNotAcknowledged)
{
    addAndAwait();
    for (std::size_t index = 0; index < 2 * MaxDepartures; ++index) {
        ledger.add({.instance = "other-" + std::to_string(index), .startedAtMs = 9}, Start);
    }
    LONGS_EQUAL(MaxDepartures, ledger.departures().size());
    ledger.onStored(ledger.departures(), Start);
    ledger.check(Start + 1s);
    CHECK(kept == false);
}

TEST(DepartureLedger, aLaterStartReplacesTheEarlierOne)
{
    ledger.add(Left, Start);
    CHECK(!ledger.add(Left, Start));
    CHECK(ledger.add({.instance = "i-1", .startedAtMs = 6}, Start));
    LONGS_EQUAL(1, ledger.departures().size());
    CHECK(!ledger.add(Left, Start));
}

TEST(DepartureLedger, recoversFromTheStoreAndAllFormerKeepers)
{
    ledger.startRecovery(Start);
    ledger.onStored({Left}, Start);
    ledger.onRegistryRead(Start);
    const Departure missed{.instance = "i-2", .startedAtMs = 7};
    tell("n2", Start, {Left, missed});
    tell("n3", Start);
    CHECK(!ledger.recovered());
    tell("n4", Start);
    CHECK(ledger.recovered());
    CHECK(host.recovered);
    CHECK((host.restored == std::vector<Departure>{Left, missed}));
    CHECK((ledger.departures() == std::vector<Departure>{Left, missed}));
}

TEST(DepartureLedger, recoversFromTheStoreWhenOtherNodesDoNotAnswer)
{
    ledger.startRecovery(Start);
    ledger.onRegistryRead(Start + 1s);
    ledger.check(Start + 1199ms);
    CHECK(!ledger.recovered());
    ledger.check(Start + 1200ms);
    CHECK(ledger.recovered());
}

TEST(DepartureLedger, doesNotWaitForNodesThatHaveBeenRestartedToo)
{
    ledger.startRecovery(Start);
    ledger.onRegistryRead(Start);
    for (const DepartureKeeper &node : host.nodes) {
        CHECK(!ledger.recovered());
        ledger.onAskFrom(node.endpoint, Start + 1ms);
    }
    CHECK(ledger.recovered());
}

TEST(DepartureLedger, recoversFromNodesThatReportWhenTheStoreIsAway)
{
    ledger.startRecovery(Start);
    ledger.check(Start + 10s);
    CHECK(!ledger.recovered());
    ledger.onReportFrom(host.nodes[0].endpoint, Start + 10s);
    tell("n2", Start + 10s, {Left});
    CHECK(ledger.recovered());
    CHECK(host.restored == std::vector<Departure>{Left});
}

TEST(DepartureLedger, waitsForMoreNodesThanTheFirstWhenTheStoreIsAway)
{
    ledger.startRecovery(Start);
    ledger.onReportFrom(host.nodes[0].endpoint, Start);
    tell("n2", Start);
    ledger.check(Start + 900ms);
    CHECK(!ledger.recovered());
    ledger.onReportFrom(host.nodes[1].endpoint, Start + 900ms);
    tell("n3", Start + 901ms, {Left});
    ledger.check(Start + 1s);
    CHECK(ledger.recovered());
    CHECK(host.restored == std::vector<Departure>{Left});
}

// Guards against a departure that is missed after a restart, since a reply to the process before came late.
TEST(DepartureLedger, aReplyToAnEarlierProcessTellsNothing)
{
    ledger.startRecovery(Start);
    ledger.onRegistryRead(Start);
    for (const std::uint64_t otherId : {std::uint64_t{7}, std::uint64_t{1000}}) {
        for (const DepartureKeeper &node : host.nodes) {
            DepartureNote late = reply(node.node.value, DepartureNoteKind::Told);
            late.noteId = otherId;
            ledger.onReply(late, node.endpoint, Start);
        }
        CHECK(!ledger.recovered());
    }
    for (const char *node : {"n2", "n3", "n4"}) {
        tell(node, Start, {Left});
    }
    CHECK(ledger.recovered());
    CHECK(host.restored == std::vector<Departure>{Left});
}

TEST(DepartureLedger, nodesThatWereNotAskedTellNothing)
{
    ledger.startRecovery(Start);
    ledger.onReportFrom(host.nodes[0].endpoint, Start);
    tell("n3", Start, {Left});
    ledger.check(Start + 5s);
    CHECK(!ledger.recovered());
    CHECK(host.restored.empty());
}

TEST_GROUP(DepartureArchive)
{
    DepartureArchive archive;
};

TEST(DepartureArchive, remembersTheNewestDeparturesOfEachNode)
{
    for (std::uint64_t start = 1; start <= 3 * MaxDepartures; ++start) {
        archive.add(Self, {{.instance = "i-" + std::to_string(start), .startedAtMs = start}});
    }
    LONGS_EQUAL(MaxDepartures, archive.find(Self).size());
    STRCMP_EQUAL("i-24", archive.find(Self).back().instance.c_str());
    CHECK(archive.find(NodeName("n2")).empty());
}

TEST(DepartureArchive, isBoundedAndForgetsTheNodesThatWereAddedFirst)
{
    for (int index = 0; index < 5000; ++index) {
        archive.add(NodeName("n" + std::to_string(index)), {Left});
    }
    CHECK(archive.find(NodeName("n0")).empty());
    CHECK(archive.find(NodeName("n3000")).empty());
    LONGS_EQUAL(1, archive.find(NodeName("n4999")).size());
}
