#include "admin/adminserver.h"
#include "admin/tests/fakeadminservice.h"
#include "tool/tool.h"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

// Included last because it defines new as a macro.
#include <CppUTest/TestHarness.h>

using namespace vanillatack;

namespace {

const std::string NewConfig = "[zone a]\nregion = r\n[zone b]\nregion = r\n";

// Accepts connections, reads a request and closes the connection without an answer, like a node that crashes.
class DisconnectingNode
{
public:
    DisconnectingNode()
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        CHECK(bind(m_socket, generic, size) == 0 && listen(m_socket, 8) == 0);
        getsockname(m_socket, generic, &size);
        port = ntohs(address.sin_port);
        m_thread = std::thread([this] {
            for (int peer = accept(m_socket, nullptr, nullptr); peer >= 0; peer = accept(m_socket, nullptr, nullptr)) {
                char buffer[65536];
                const ssize_t received = read(peer, buffer, sizeof buffer);
                changes += std::string_view(buffer, received > 0 ? received : 0).starts_with("POST ") ? 1 : 0;
                close(peer);
            }
        });
    }

    ~DisconnectingNode()
    {
        shutdown(m_socket, SHUT_RDWR);
        m_thread.join();
        close(m_socket);
    }

    std::uint16_t port = 0;
    std::atomic<int> changes = 0;

private:
    int m_socket;
    std::thread m_thread;
};

std::string addressOf(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

TEST_GROUP(Tool)
{
    FakeAdminService service;
    AdminServer server{service, "operator-credential"};
    std::string node;
    std::string file = "/tmp/vt_tool_tests_" + std::to_string(getpid()) + ".ini";
    std::string out;
    std::string err;
    std::string credential = "operator-credential";
    std::string input;
    ManualClock clock;
    std::function<void()> onSleep = [] {};

    void setup() override
    {
        node = addressOf(server.start({"127.0.0.1", 0}).value());
        std::ofstream(file) << NewConfig;
    }

    void teardown() override
    {
        std::remove(file.c_str());
    }

    int run(const std::vector<std::string> &arguments)
    {
        std::istringstream in(input);
        std::ostringstream outStream;
        std::ostringstream errStream;
        const ToolEnvironment environment = {in,
                                             outStream,
                                             errStream,
                                             [this](const std::string &name) {
                                                 return name == "VANILLATACK_CREDENTIAL" ? credential
                                                     : name == "USER"                    ? std::string("ann")
                                                                                         : std::string();
                                             },
                                             [this](Duration) {
                                                 onSleep();
                                             },
                                             clock};
        const int status = runTool(arguments, environment);
        out = outStream.str();
        err = errStream.str();
        return status;
    }

    int runAt(const std::string &address, std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(), {"--node", address});
        return run(arguments);
    }
};

namespace {

const std::string NodeLog =
    "t=10.000 node=n1 decision=config.applied config=3 before=0\n"
    "t=11.000 node=n1 decision=entrance.share route=r1 share=0.75 offered_per_s=900.0 slot_seconds=\"archive:0.2/204,\"\n"
    "t=11.500 node=n1 decision=entrance.share route=r2 share=0.10\n"
    "t=11.600 node=n2 decision=store.lost reason=refused\n"
    "some other program's line\n"
    "  12.1 n1 t=12.100 node=n1 decision=egress.rejected id=a1 status=503 reason=overloaded route=r1 share=0.75\n"
    "t=13.000 node=n1 decision=entrance.share route=r1 share=1.00\n"
    "t=13.500 node=n1 decis";

} // namespace

TEST(Tool, explainShowsTheDecisionAndItsContext)
{
    {
        std::ofstream log("/tmp/vt_explain_test.log");
        log << NodeLog;
    }
    LONGS_EQUAL(0, run({"explain", "a1", "--logs", "/tmp/vt_explain_test.log"}));
    std::remove("/tmp/vt_explain_test.log");
    STRCMP_CONTAINS("t=12.100 node=n1 decision=egress.rejected id=a1", out.c_str());
    STRCMP_CONTAINS("1.1 s before: t=11.000 node=n1 decision=entrance.share route=r1 share=0.75", out.c_str());
    STRCMP_CONTAINS("config=3", out.c_str());
    CHECK(out.find("share=1.00") == std::string::npos);
    CHECK(out.find("route=r2") == std::string::npos);
    CHECK(out.find("node=n2") == std::string::npos);
    STRCMP_CONTAINS("2 lines are not decisions or are truncated", err.c_str());
}

TEST(Tool, explainReportsMissingLogsAndRequests)
{
    CHECK(run({"explain", "a1", "--logs", "/tmp/vt_no_such.log"}) != 0);
    STRCMP_CONTAINS("/tmp/vt_no_such.log cannot be read", err.c_str());
    CHECK(run({"explain", "a9"}) != 0);
    STRCMP_CONTAINS("No decision found for the request a9", err.c_str());
}

// Guards against commands without help, and against invalid usage that scripts mistake for success.
TEST(Tool, everyCommandHasHelpAndInvalidUsageIsStatus2)
{
    const std::vector<std::vector<std::string>> commands = {{"config", "show"},
                                                            {"config", "validate"},
                                                            {"config", "diff"},
                                                            {"config", "apply"},
                                                            {"config", "history"},
                                                            {"workspace", "list"},
                                                            {"key", "list"},
                                                            {"key", "grant"},
                                                            {"key", "withdraw"},
                                                            {"fleet"},
                                                            {"why"},
                                                            {"drain"},
                                                            {"undrain"},
                                                            {"report"},
                                                            {"status"}};
    for (std::vector<std::string> command : commands) {
        command.emplace_back("--help");
        LONGS_EQUAL(0, run(command));
        STRCMP_CONTAINS("Example", out.c_str());
        command.back() = "--no-such-option";
        LONGS_EQUAL(2, run(command));
    }
    LONGS_EQUAL(2, run({}));
    LONGS_EQUAL(2, run({"fleet"})); // No node.
    LONGS_EQUAL(2, run({"fleet", "--node", "somewhere:99"}));
    LONGS_EQUAL(2, run({"fleet", "--node", node, "--output", "xml"}));
    LONGS_EQUAL(2, run({"drain", "n1", "--node", node, "--node", addressOf(9)}));
    credential = "two\r\nlines";
    LONGS_EQUAL(2, runAt(node, {"fleet"}));
    LONGS_EQUAL(0, service.calls);
}

// Guards against a validation that needs a running fleet or omits problems.
TEST(Tool, validateAndDiffWorkOffline)
{
    LONGS_EQUAL(0, run({"config", "validate", EXAMPLES_DIR "/cascadia.ini"}));
    STRCMP_CONTAINS("8 workspaces", out.c_str());
    LONGS_EQUAL(0, run({"config", "diff", EXAMPLES_DIR "/virtanen.ini", file}));
    STRCMP_CONTAINS("zone east-a: removed", out.c_str());
    std::ofstream(file) << "[zone a]\nregion = R\ntypo = 1\n";
    LONGS_EQUAL(2, run({"config", "validate", file}));
    STRCMP_CONTAINS((file + ":2: ").c_str(), err.c_str());
    STRCMP_CONTAINS((file + ":3: ").c_str(), err.c_str());
    LONGS_EQUAL(2, run({"config", "validate", "/no/such/file"}));
}

// Guards against applying changes that the operator has not confirmed, and against overwriting another operator's
// version.
TEST(Tool, applyShowsTheDifferenceAndAsks)
{
    LONGS_EQUAL(3, runAt(node, {"config", "apply", file, "--note", "why"})); // No answer at the prompt.
    STRCMP_CONTAINS("zone b: added", err.c_str());
    LONGS_EQUAL(4, service.config.version);
    LONGS_EQUAL(3, runAt(node, {"config", "apply", file, "--note", "why", "--yes", "--base", "3"}));
    LONGS_EQUAL(4, service.config.version);
    input = "yes\n";
    LONGS_EQUAL(0, runAt(node, {"config", "apply", file, "--note", "why"}));
    STRCMP_CONTAINS("Version 5 is applied", out.c_str());
    STRCMP_EQUAL(NewConfig.c_str(), service.config.text.c_str());
    LONGS_EQUAL(0, runAt(node, {"config", "apply", file, "--note", "why", "--yes"}));
    LONGS_EQUAL(5, service.config.version); // Same text: nothing to apply.
}

// Guards against exit statuses that scripts cannot distinguish.
TEST(Tool, errorsMapToExitStatuses)
{
    const std::vector<std::string> apply = {"config", "apply", file, "--note", "why", "--yes"};
    for (const auto &[kind, status] : {std::pair(ErrorKind::Conflict, 3),
                                       std::pair(ErrorKind::Unavailable, 4),
                                       std::pair(ErrorKind::OutcomeUnknown, 6),
                                       std::pair(ErrorKind::Timeout, 6),
                                       std::pair(ErrorKind::Internal, 6)}) {
        service.applyError = makeError(kind, "No.", "Wait.");
        LONGS_EQUAL(status, runAt(node, apply));
    }
    LONGS_EQUAL(4, runAt(addressOf(1), {"fleet"}));
    service.zoneState = ZoneConfirmation::Unreachable;
    LONGS_EQUAL(5, runAt(node, {"key", "withdraw", "k1"}));
    STRCMP_CONTAINS("unreachable", out.c_str());
    service.zoneState = ZoneConfirmation::Confirmed;
    LONGS_EQUAL(0, runAt(node, {"key", "withdraw", "k1"}));
    credential = "wrong";
    LONGS_EQUAL(3, runAt(node, {"fleet"}));
    CHECK(err.find("wrong\n") == std::string::npos && out.empty());
}

// Guards against a change that runs twice because it was retried at another node after the first did not answer.
TEST(Tool, changesWithoutAnAnswerAreNotRetried)
{
    DisconnectingNode disconnecting;
    const std::vector<std::string> nodes = {"--node", addressOf(disconnecting.port), "--node", node};
    const auto runAtBoth = [&](std::vector<std::string> arguments) {
        arguments.insert(arguments.end(), nodes.begin(), nodes.end());
        return run(arguments);
    };
    LONGS_EQUAL(0, runAtBoth({"fleet"})); // Reads are retried at the next node.
    const int calls = service.calls;
    LONGS_EQUAL(6, runAtBoth({"key", "grant", "north", "--note", "till 4"}));
    LONGS_EQUAL(calls, service.calls);
    LONGS_EQUAL(6, runAtBoth({"config", "apply", file, "--note", "why", "--yes"}));
    LONGS_EQUAL(4, service.config.version);
    LONGS_EQUAL(2, disconnecting.changes); // One grant, one apply.
    onSleep = [this] {
        service.config = {5, "d5", NewConfig};
    };
    LONGS_EQUAL(0, runAtBoth({"config", "apply", file, "--note", "why", "--yes"}));
    STRCMP_CONTAINS("Version 5 is applied", out.c_str());
    service.config = {4, "d4", "[zone a]\nregion = r\n"};
    service.history.entries = {{6, "d6", "ann", "", 0}, {5, "d5", "bob", "", 0}};
    LONGS_EQUAL(3, runAtBoth({"config", "apply", file, "--note", "why", "--yes"}));
    STRCMP_CONTAINS("Version 5 was applied by bob", err.c_str());
    // A node that refuses connections has not received the change, so it may be sent to the next one.
    LONGS_EQUAL(0, run({"key", "grant", "north", "--note", "x", "--node", addressOf(1), "--node", node}));
    STRCMP_CONTAINS("secret-key", out.c_str());
}

// Guards against reports that look complete although zones are missing, and against output that scripts cannot parse.
TEST(Tool, reportListsMissingZones)
{
    const auto sinceEpoch = clock.wallNow().time_since_epoch();
    const std::int64_t now = std::chrono::floor<std::chrono::minutes>(sinceEpoch).count();
    service.burn.nowMinute = now;
    service.burn.objectives = {{RouteName("certs"), 99.9, std::chrono::milliseconds(500)}};
    service.burn.buckets.add({ZoneName("a"), NodeName("n"), 1},
                             BurnBucket{now, RouteName("certs"), WorkspaceName("north"), 90, 10, {}});
    LONGS_EQUAL(0, runAt(node, {"report"}));
    STRCMP_CONTAINS("fast", out.c_str());
    // One bucket for each hour of the period except its ends, so that the buckets span all queried ranges.
    for (std::int64_t age = 60; age < 29 * 24 * 60; age += 60) {
        service.burn.buckets.add({ZoneName("a"), NodeName("n"), 1},
                                 BurnBucket{now - age, RouteName("certs"), WorkspaceName("north"), 1000, 0, {}});
    }
    LONGS_EQUAL(0, runAt(node, {"report", "--output", "json"}));
    LONGS_EQUAL(90 + 1000 * (29 * 24 - 1), nlohmann::json::parse(out).at("routes").at(0).at("good").get<int>());
    service.burn.missingZones = {ZoneName("b")};
    LONGS_EQUAL(5, runAt(node, {"report", "--output", "json", "--html", file}));
    CHECK(!nlohmann::json::parse(out).at("complete").get<bool>());
    std::stringstream page;
    page << std::ifstream(file).rdbuf();
    STRCMP_CONTAINS("no figures from b", page.str().c_str());
}

// Guards against figures missing from the text output, and against invalid JSON output.
TEST(Tool, readsAreShownAsTextAndJson)
{
    service.fleet = {NodeName("n1"),
                     {{ZoneName("a"), "r", true, 0, 4, 7, 2, 1, {{ServiceName("desk"), 3, 1}}, {}},
                      {ZoneName("b"), "r", false, 90'000, 3, 6, 2, 1, {}, {{NodeName("n9"), ServiceName("desk")}}}}};
    service.status.node = NodeName("n1");
    service.status.notReadyReason = "no documents";
    service.workspaces = {NodeName("n1"), {{WorkspaceName("north"), 600, 1200, 2, 100.5, 0, 20, 3, 12, 1}}};
    const std::vector<std::pair<std::vector<std::string>, std::vector<const char *>>> cases = {
        {{"fleet"}, {"UNREACHABLE, seen 90s ago", "differs between zones", "n9"}},
        {{"status"}, {"no: no documents", "platform answered  never"}},
        {{"workspace", "list"}, {"100.5", "1200", "node n1"}},
        {{"key", "list"}, {"revoked 1970-01-01 00:00:01 UTC", "till 4"}},
        {{"config", "history", "--limit", "3"}, {"VERSION"}},
        {{"config", "show"}, {"[zone a]"}},
        {{"why", "8f3a", "--kind", "rate-exceeded"}, {"8f3a", "rate-exceeded"}},
        {{"drain", "n1", "--note", "x"}, {"Node n1 drains: 3 requests running"}},
        {{"undrain", "n1"}, {"Node n1 takes work"}},
    };
    for (const auto &[arguments, texts] : cases) {
        LONGS_EQUAL(0, runAt(node, arguments));
        for (const char *text : texts) {
            STRCMP_CONTAINS(text, out.c_str());
        }
        std::vector<std::string> asJson = {"--output", "json"};
        asJson.insert(asJson.end(), arguments.begin(), arguments.end());
        LONGS_EQUAL(0, runAt(node, asJson));
        CHECK(nlohmann::json::accept(out));
    }
    LONGS_EQUAL(5, run({"status", "--node", node, "--node", addressOf(1)}));
    LONGS_EQUAL(2, runAt(node, {"why", "--kind", "no-such-kind"}));
}
