#include "base/random.h"
#include "wire/codec.h"

#include <limits>

#include <CppUTest/TestHarness.h>

using namespace vanillatack;

namespace {

Member exampleMember(const std::string &name)
{
    return {NodeName(name),
            ZoneName("north-a"),
            {"127.0.0.1", 7001},
            ServiceName("archive"),
            40,
            99,
            MemberState::Draining,
            true,
            3};
}

ZoneDigest exampleDigest()
{
    ZoneDigest digest;
    digest.sender = NodeName("n1");
    digest.zone = ZoneName("north-a");
    digest.version = 12;
    digest.services = {{ServiceName("archive"), 3, {exampleMember("n2")}}};
    digest.relays = {exampleMember("n3")};
    digest.versions = {1, 2, 3, 4};
    digest.nodes = 5;
    digest.baseVersion = 11;
    digest.heartbeat = 13;
    return digest;
}

} // namespace

TEST_GROUP(Codec){};

// Guards against a field that is lost or swapped between two nodes.
TEST(Codec, callsSurviveARoundTrip)
{
    CallRequest request;
    request.requestId = 7;
    request.workspace = WorkspaceName("acme");
    request.priority = PriorityClass::Critical;
    request.deadlineLeft = std::chrono::milliseconds(1500);
    request.allowance = 3;
    request.headers = {{"Accept", "text/plain"}};
    request.body = std::string("a\0b", 3);
    const auto decoded = decodeFrame(encodeFrame(request));
    CHECK(decoded.has_value());
    const auto &copy = std::get<CallRequest>(decoded.value());
    CHECK(copy.requestId == 7 && copy.workspace.value == "acme" && copy.priority == PriorityClass::Critical);
    CHECK(copy.deadlineLeft == request.deadlineLeft && copy.allowance == 3 && copy.body == request.body);
    CHECK(copy.headers == request.headers);
}

// Guards against a digest that loses members or versions in transit.
TEST(Codec, controlMessagesSurviveARoundTrip)
{
    const ControlFrame frame{{"127.0.0.1", 9}, exampleDigest()};
    const auto decoded = decodeFrame(encodeFrame(frame));
    CHECK(decoded.has_value());
    const auto &copy = std::get<ZoneDigest>(std::get<ControlFrame>(decoded.value()).message);
    CHECK(copy.services == exampleDigest().services);
    CHECK(copy.relays == exampleDigest().relays);
    CHECK(copy.versions == exampleDigest().versions);
    CHECK(copy.baseVersion == 11 && copy.heartbeat == 13 && copy.nodes == 5);
}

// Guards against loans that change in transit, which would create tokens.
TEST(Codec, loansSurviveARoundTrip)
{
    BorrowGrant grant{NodeName("n1"), 4, LoanId{5}, WorkspaceName("acme"), 6, 7, 8, std::chrono::seconds(2), {}};
    grant.more.push_back({WorkspaceName("other"), 1, 2, 3, LoanId{9}, std::chrono::seconds(1)});
    const auto decoded = decodeFrame(encodeFrame(ControlFrame{{"127.0.0.1", 9}, grant}));
    CHECK(decoded.has_value());
    const auto &copy = std::get<BorrowGrant>(std::get<ControlFrame>(decoded.value()).message);
    CHECK(copy.sequence == 4 && copy.loan.value == 5 && copy.rate == 6 && copy.burst == 7 && copy.tokens == 8);
    LONGS_EQUAL(1, copy.more.size());
    CHECK(copy.more[0].loan.value == 9 && copy.more[0].tokens == 3 && copy.more[0].term == std::chrono::seconds(1));
}

// Guards against a crash of a node on truncated, altered or random bytes from the network.
TEST(Codec, corruptedMessagesAreRefusedOrDecodedWithoutACrash)
{
    SeededRandom random(1);
    const std::string good = encodeFrame(ControlFrame{{"127.0.0.1", 9}, exampleDigest()});
    int refused = 0;
    for (int round = 0; round < 20000; ++round) {
        std::string bytes = good.substr(0, random.below(good.size() + 1));
        for (std::uint64_t flips = random.below(8); flips > 0 && !bytes.empty(); --flips) {
            bytes[random.below(bytes.size())] = static_cast<char>(random.next());
        }
        refused += decodeFrame(bytes).has_value() ? 0 : 1;
    }
    CHECK(refused > 10000);
}

TEST(Codec, linkFramesAndReportsSurviveBothFormats)
{
    NodeReport report;
    report.node = NodeName("n1");
    report.startedAtMs = 1'700'000'000'123;
    report.sequence = 9;
    report.service = ServiceName("osat");
    report.slots = 80;
    report.running = 70;
    report.queued = 3;
    report.loads = {{RouteName("r"), 2.5, 0.25}};
    report.edges = {{RouteName("r"), RouteName("s"), 4}};
    report.silent = {NodeName("n2"), NodeName("n3")};
    report.leaving = {NodeName("n4")};
    report.registeredDigest = 0xfedcba9876543210;
    for (const std::string &bytes : {encodePackedFrame(report), encodePackedFrame(CallCancel{7})}) {
        CHECK(decodePackedFrame(bytes).has_value());
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            CHECK(decodePackedFrame(std::string_view(bytes).substr(0, length)).has_error());
        }
    }
    const Frame decoded = decodePackedFrame(encodePackedFrame(report)).value();
    const NodeReport &copy = std::get<NodeReport>(decoded);
    CHECK(copy.startedAtMs == report.startedAtMs);
    LONGS_EQUAL(3, copy.queued);
    DOUBLES_EQUAL(0.25, copy.loads.at(0).workSeconds, 1e-6);
    STRCMP_EQUAL("s", copy.edges.at(0).callee.value.c_str());
    STRCMP_EQUAL("n3", copy.silent.at(1).value.c_str());
    STRCMP_EQUAL("n4", copy.leaving.at(0).value.c_str());
    CHECK(copy.registeredDigest == 0xfedcba9876543210);
    CHECK(encodePackedFrame(report).size() < encodeFrame(report).size());
    const Frame probe = decodeFrame(encodeFrame(LinkProbe{.sequence = 5, .answer = true})).value();
    CHECK(std::get<LinkProbe>(probe).answer);
    const Frame cancel = decodeFrame(encodeFrame(CallCancel{8})).value();
    CHECK(std::get<CallCancel>(cancel).requestId == 8);
}

TEST(Codec, reportsWithNonFiniteOrNegativeValuesAreRefused)
{
    NodeReport report;
    report.loads = {{RouteName("r"), std::numeric_limits<double>::quiet_NaN(), 0}};
    CHECK(decodeFrame(encodeFrame(report)).has_error());
    report.loads = {{RouteName("r"), 0, -1}};
    CHECK(decodePackedFrame(encodePackedFrame(report)).has_error());
}

TEST(Codec, bundlesAsksAndGrantsSurviveARoundTrip)
{
    NodeReport report;
    report.node = NodeName("n1");
    report.sequence = 9;
    const Frame bundle =
        decodePackedFrame(encodePackedFrame(ReportBundle{.spread = true, .reports = {report}})).value();
    CHECK(std::get<ReportBundle>(bundle).spread);
    LONGS_EQUAL(9, std::get<ReportBundle>(bundle).reports.at(0).sequence);
    const RateAsk ask{.askId = 7, .asker = NodeName("n1"), .workspace = WorkspaceName("w"), .wanted = 3, .returned = 2};
    const Frame asked = decodePackedFrame(encodePackedFrame(ask)).value();
    STRCMP_EQUAL("w", std::get<RateAsk>(asked).workspace.value.c_str());
    LONGS_EQUAL(3, std::get<RateAsk>(asked).wanted);
    LONGS_EQUAL(2, std::get<RateAsk>(asked).returned);
    const RateGrant grant{
        .askId = 7, .workspace = WorkspaceName("w"), .granted = 1, .dryFor = std::chrono::milliseconds(30)};
    const Frame granted = decodePackedFrame(encodePackedFrame(grant)).value();
    CHECK(std::get<RateGrant>(granted).dryFor == grant.dryFor);
}

TEST(Codec, tableChangesSurviveARoundTrip)
{
    TableChanges changes;
    changes.requestId = 4;
    changes.known = true;
    changes.version = 12;
    changes.confirmedAfter = std::chrono::milliseconds(-40);
    changes.rows = {{.key = "k", .value = std::string("a\0b", 3), .version = 11, .deleted = false},
                    {.key = "l", .value = "", .version = 12, .deleted = true}};
    const Frame decoded = decodeFrame(encodeFrame(changes)).value();
    const TableChanges &copy = std::get<TableChanges>(decoded);
    CHECK(copy.known);
    CHECK(copy.confirmedAfter == changes.confirmedAfter);
    CHECK(copy.rows.at(0).value == changes.rows.at(0).value);
    CHECK(copy.rows.at(1).deleted);
}

TEST(Codec, departureNotesSurviveARoundTripAndAreBounded)
{
    DepartureNote note{.kind = DepartureNoteKind::Told,
                       .node = NodeName("n1"),
                       .sender = NodeName("n2"),
                       .noteId = 9,
                       .departures = {{.instance = "i-1", .startedAtMs = 1700000000123}},
                       .configVersion = 12};
    const Frame decoded = decodePackedFrame(encodePackedFrame(note)).value();
    const DepartureNote &copy = std::get<DepartureNote>(decoded);
    CHECK(copy.kind == note.kind);
    CHECK(copy.node == note.node);
    CHECK(copy.sender == note.sender);
    LONGS_EQUAL(note.noteId, copy.noteId);
    CHECK(copy.departures == note.departures);
    LONGS_EQUAL(note.configVersion, copy.configVersion);
    note.departures.resize(MaxDepartures + 1);
    CHECK(decodePackedFrame(encodePackedFrame(note)).has_error());
}

TEST(Codec, negativeCountsAndDurationsAreRefused)
{
    RateAsk ask;
    ask.wanted = -1;
    CHECK(decodePackedFrame(encodePackedFrame(ask)).has_error());
    RateGrant grant;
    grant.granted = -1;
    CHECK(decodePackedFrame(encodePackedFrame(grant)).has_error());
    TableWatch watch;
    watch.wait = Duration(-1);
    CHECK(decodeFrame(encodeFrame(watch)).has_error());
}
