// Before CppUTest, whose macro for new does not allow the placement new in its headers.
#include <nlohmann/json.hpp>

#include "daemon/daemon.h"
#include "standin/upstreaminstance.h"
#include "statechart/builtincharts.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <thread>

using namespace vanillatack;
using namespace std::chrono_literals;

namespace {

constexpr const char *Credential = "0123456789abcdef";
constexpr const char *Configuration =
    "[zone z]\nregion = r\n[service desk]\n"
    "[route read]\nmethod = GET\npath = /read\nservice = desk\nclass = interactive\nopen = yes\n"
    "[route keyed]\nmethod = GET\npath = /keyed\nservice = desk\nclass = interactive\n"
    "[workspace w]\nrate = 1000\nburst = 1000\n";

// Loopback address that other programs rarely use, so that its ports stay free.
constexpr const char *Address = "127.39.17.5";

/// Binds a socket to the port and returns it, or -1 when the port is taken. Port 0 is replaced by a free one.
int bindPort(std::uint16_t &port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    socklen_t size = sizeof(address);
    CHECK(::inet_pton(AF_INET, Address, &address.sin_addr) == 1);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), size) != 0) {
        ::close(descriptor);
        return -1;
    }
    CHECK(::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size) == 0);
    port = ntohs(address.sin_port);
    return descriptor;
}

/// Finds distinct free ports by binding all of them before closing any. Another process may take one afterwards.
std::array<std::uint16_t, 6> freePorts()
{
    std::array<std::uint16_t, 6> ports{};
    std::array<int, 6> sockets{};
    for (std::size_t index = 0; index < ports.size(); ++index) {
        sockets.at(index) = bindPort(ports.at(index));
    }
    for (const int socket : sockets) {
        ::close(socket);
    }
    return ports;
}

DaemonSettings settingsFor(const std::array<std::uint16_t, 6> &ports)
{
    DaemonSettings settings;
    settings.name = NodeName("n");
    settings.zone = ZoneName("z");
    settings.address = Address;
    settings.localAddress = Address;
    settings.nodePort = ports[0];
    settings.callerPort = ports[1];
    settings.localPort = ports[2];
    settings.adminPort = ports[3];
    settings.metricsPort = ports[4];
    settings.fleetSecret = Credential;
    settings.operatorCredential = Credential;
    settings.embeddedPlatform = true;
    settings.drainPeriod = 1ms;
    return settings;
}

} // namespace

TEST_GROUP(Daemon)
{
    SystemClock clock;
    std::unique_ptr<IUpstreamClient> client = makeUpstreamClient({});

    HttpResponse send(std::uint16_t port, const HttpRequest &request)
    {
        // Far above any response time; only ends a test that hangs.
        const UpstreamAnswer answer = client->send({Address, port}, request, clock.now() + 5min, NoSocket);
        CHECK(answer.complete);
        return answer.response;
    }

    nlohmann::json postToAdmin(std::uint16_t adminPort, const std::string &target, const nlohmann::json &body)
    {
        const HttpRequest request{
            "POST", target, {{"Authorization", std::string("Bearer ") + Credential}}, body.dump()};
        const HttpResponse response = send(adminPort, request);
        LONGS_EQUAL(200, response.status);
        return nlohmann::json::parse(response.body.bytes());
    }

    /// Repeats the request until the status differs from the given one; hangs when it never does.
    HttpResponse waitWhile(int status, std::uint16_t port, const HttpRequest &request)
    {
        HttpResponse response = send(port, request);
        while (response.status == status) {
            std::this_thread::sleep_for(20ms);
            response = send(port, request);
        }
        return response;
    }
};

// Guards against a node that serves without a configuration, never becomes ready, forwards callers' keys to the
// upstream, or accepts a withdrawn key.
TEST(Daemon, servesFromTheFirstConfigurationOn)
{
    std::signal(SIGPIPE, SIG_IGN); // As in the program's main().
    const BuiltInCharts charts = loadBuiltInCharts();
    std::array<std::uint16_t, 6> ports{};
    std::unique_ptr<IDaemon> daemon;
    bool started = false;
    for (int tries = 0; tries < 20 && !started; ++tries) { // Another process may have taken a port.
        ports = freePorts();
        daemon = makeDaemon(settingsFor(ports), charts.charts.at("upstream"));
        started = daemon->start().has_value();
    }
    CHECK(started);
    const auto [nodePort, callerPort, localPort, adminPort, metricsPort, upstreamPort] = ports;
    const DirectMode direct;
    OperationLog operations;
    StandinService service;
    service.name = "desk";
    service.workTime = 1ms;
    UpstreamInstance upstream(
        {"desk-1", "desk", {Address, upstreamPort}, {Address, localPort}}, service, direct, operations);
    CHECK(upstream.start().has_value());

    const HttpRequest read{"GET", "/read", {{"Authorization", "Bearer vt_anything"}}, {}};
    const HttpResponse early = send(callerPort, read);
    LONGS_EQUAL(503, early.status);
    const nlohmann::json problem = nlohmann::json::parse(early.body.bytes());
    STRCMP_EQUAL("not-ready", problem.at("kind").get<std::string>().c_str());
    STRCMP_EQUAL("not-run", problem.at("run").get<std::string>().c_str());
    LONGS_EQUAL(503, send(localPort, {"GET", "/readyz", {}, {}}).status);
    LONGS_EQUAL(200, send(localPort, {"GET", "/healthz", {}, {}}).status);

    postToAdmin(adminPort, "/v1/config", {{"baseVersion", 0}, {"text", Configuration}, {"author", "a"}, {"note", "n"}});
    const nlohmann::json grant =
        postToAdmin(adminPort, "/v1/keys", {{"workspace", "w"}, {"author", "a"}, {"note", "n"}});
    LONGS_EQUAL(200, waitWhile(503, localPort, {"GET", "/readyz", {}, {}}).status);
    LONGS_EQUAL(200, waitWhile(503, callerPort, read).status);
    LONGS_EQUAL(404, send(callerPort, {"GET", "/nowhere", {}, {}}).status);
    HttpRequest keyed{"GET", "/keyed", {}, {}};
    LONGS_EQUAL(401, send(callerPort, keyed).status);
    keyed.headers = {{"Authorization", "Bearer " + grant.at("key").get<std::string>()}};
    // The node has no quota share, so a request with a valid key is refused by the rate limit.
    LONGS_EQUAL(429, send(callerPort, keyed).status);
    postToAdmin(adminPort, "/v1/keys/withdraw", {{"id", grant.at("id")}, {"author", "a"}});
    LONGS_EQUAL(401, send(callerPort, keyed).status);

    const nlohmann::json stats =
        nlohmann::json::parse(send(upstreamPort, {"GET", "/control/stats", {}, {}}).body.bytes());
    CHECK(stats.at("served").get<int>() > 0);
    LONGS_EQUAL(0, stats.at("keys_seen").get<int>());
    daemon->shutDown();
    upstream.stop();
}

// Guards against a node that failed to start but still accepts connections on some of its ports.
TEST(Daemon, closesItsPortsWhenOneIsTaken)
{
    const BuiltInCharts charts = loadBuiltInCharts();
    for (std::size_t takenPort = 0; takenPort < 5; ++takenPort) {
        std::array<std::uint16_t, 6> ports = freePorts();
        const int taken = bindPort(ports.at(takenPort));
        CHECK(taken >= 0 && ::listen(taken, 1) == 0);
        auto daemon = makeDaemon(settingsFor(ports), charts.charts.at("upstream"));
        const Result<void> started = daemon->start();
        CHECK(!started && started.error().kind == ErrorKind::Unavailable);
        ::close(taken);
        for (const std::uint16_t port : ports) {
            CHECK(!connectTcp({Address, port}, 5min));
        }
        daemon.reset();
        for (std::uint16_t port : ports) {
            const int descriptor = bindPort(port);
            CHECK(descriptor >= 0);
            ::close(descriptor);
        }
    }
}
