#include "proxy/tests/testnodes.h"
#include "proxy/trafficnode.h"
#include "testing/testsettings.h"

#include <boost/asio/write.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace vanillatack;
using namespace std::chrono_literals;

namespace {

using Tcp = boost::asio::ip::tcp;

constexpr Duration AnnounceInterval = 250ms;
constexpr Duration ShutdownGrace = 3s;
constexpr Duration RequestTimeout = 8s; // Longer than a shutdown, as are many waits in queues.
/// A request that crosses the closing of its connection does not count as lost.
constexpr Duration CrossingTime = 200ms;
constexpr int Slots = 3;
/// Size of some answers, more than the kernel takes; callers read them in many steps.
constexpr std::size_t LargeAnswerBytes = std::size_t{8} << 20;

/// Requests that the node has sent before it acknowledged a leaving may still arrive for this time.
constexpr Duration ArrivalTime = 200ms;

/// An instance that answers after a random time, at times falls silent, and goes on serving for a while after it has
/// left.
class SoakInstance final : public IHttpListener
{
public:
    SoakInstance(EventLoop &loop, const IClock &clock, SeededRandom &random, std::map<std::string, int> &runs)
        : server(makeHttpServer(loop, *this))
        , m_loop(loop)
        , m_clock(clock)
        , m_random(random)
        , m_runs(runs)
    {
        CHECK(server->listen({"127.0.0.1", 0}).has_value());
    }

    void onRequest(ExchangeId exchange, HttpRequest request, const std::string & /*peer*/) override
    {
        const std::string id = request.header("Attempt");
        ++m_runs[id];
        runsAfterLeaving += leftAt && m_clock.now() - *leftAt > ArrivalTime ? 1 : 0;
        if (silent) {
            return;
        }
        const Duration work = std::chrono::milliseconds(m_random.below(20) == 0 ? 3000 : m_random.below(60));
        const bool large = request.target.starts_with("/read/large");
        m_loop.callAfter(work, [this, exchange, id, large] {
            HttpResponse response;
            response.status = 200;
            response.headers = {{"Signature", "s"}, {"Attempt", id}};
            response.body = "answer " + id + std::string(large ? LargeAnswerBytes : 0, ' ');
            server->respond(exchange, std::move(response));
        });
    }

    void onExchangeAbandoned(ExchangeId /*exchange*/) override
    {
    }

    std::unique_ptr<IHttpServer> server;
    bool silent = false;
    bool withdrawn = false;
    std::uint64_t startedAtMs = 1;
    std::int64_t sequence = 0;
    TimePoint soundAgainAt;
    std::optional<TimePoint> leftAt; ///< When its leaving was acknowledged.
    std::deque<std::pair<TimePoint, InstanceAnnouncement>> lateAnnouncements; ///< With the times of their arrival.
    int runsAfterLeaving = 0;

private:
    EventLoop &m_loop;
    const IClock &m_clock;
    SeededRandom &m_random;
    std::map<std::string, int> &m_runs;
};

struct SoakNode {
    ProxySettings settings;
    std::unique_ptr<SoakInstance> instance;
    std::unique_ptr<NodeProcess> process; ///< Null while the node is down.
    bool stopping = false;
    bool stopped = false;
    TimePoint nextAnnouncementAt;
    TimePoint startAt;
    std::optional<TimePoint> killAt;
};

struct SentRequest {
    std::string id;
    bool idempotent = false;
    TimePoint sentAt;
};

/// A caller that keeps its connection until the node closes it, sends requests that may be repeated in a row, and at
/// times leaves without waiting.
struct SoakCaller {
    std::unique_ptr<Tcp::socket> socket;
    const SoakNode *node = nullptr; ///< To which it is connected.
    std::deque<SentRequest> sent;
    std::string received;
    TimePoint nextRequestAt;
};

} // namespace

TEST_GROUP(Soak)
{
    SystemClock clock;
    EventLoop loop; ///< Of the instances and callers.
    std::unique_ptr<SeededRandom> random;
    std::shared_ptr<FakeTableStore> table = std::make_shared<FakeTableStore>();
    int logDescriptor = open("/dev/null", O_WRONLY | O_CLOEXEC);
    std::map<std::string, int> runs; ///< By attempt id.
    std::set<std::string> nonIdempotent;
    std::set<std::string> refused; ///< Of the non-idempotent ones.
    std::vector<SoakNode> nodes;
    std::vector<SoakCaller> callers;
    std::uint64_t configVersion = 1;
    TimePoint storeBackAt;
    int leavings = 0;
    int acknowledgedLeavings = 0;
    int lastAttempt = 0;
    int answered = 0;
    int lost = 0;
    int mixedUp = 0;
    std::array<char, 65536> chunk{};

    void teardown() override
    {
        nodes.clear();
        close(logDescriptor);
    }

    TrafficConfig config() const
    {
        TrafficRoute read;
        read.name = RouteName("read");
        read.prefix = "/read/";
        read.services = {{ServiceName("parts"), 1}};
        read.kind = RouteKind::Idempotent;
        read.maxAttempts = 2;
        read.timeout = RequestTimeout;
        TrafficRoute write = read;
        write.name = RouteName("write");
        write.prefix = "/write/";
        write.kind = RouteKind::NonIdempotent;
        TrafficConfig result;
        result.version = configVersion;
        result.hosts = {{"shop", {read, write}}};
        result.workspaces.push_back({.name = WorkspaceName("acme"), .keys = {"k1"}, .rank = std::nullopt});
        return result;
    }

    void addNode(const std::string &name, const std::string &zone)
    {
        SoakNode node;
        node.instance = std::make_unique<SoakInstance>(loop, clock, *random, runs);
        node.settings.node = NodeName(name);
        node.settings.zone = ZoneName(zone);
        node.settings.service = ServiceName("parts");
        node.settings.callerEndpoint = {"127.0.0.1", freePort(loop)};
        node.settings.peerEndpoint = {"127.0.0.1", freePort(loop)};
        node.settings.instanceEndpoint = {"127.0.0.1", node.instance->server->port()};
        node.settings.headers = headerNames();
        node.settings.logDescriptor = logDescriptor;
        node.settings.keyGrace = 100s;
        node.settings.announceInterval = AnnounceInterval;
        node.settings.shutdownGrace = ShutdownGrace;
        nodes.push_back(std::move(node));
    }

    void startNode(SoakNode & node)
    {
        node.process = std::make_unique<NodeProcess>(table, clock, node.settings);
        CHECK(node.process->node->start().has_value());
        node.process->node->applyConfig(config());
        confirm(node);
        node.stopping = false;
        node.stopped = false;
    }

    void confirm(SoakNode & node) const
    {
        node.process->node->confirmConfig({.storeClock = 100s, .sent = clock.elapsed(), .received = clock.elapsed()});
    }

    InstanceAnnouncement nextAnnouncement(SoakNode & node) const
    {
        InstanceAnnouncement announcement;
        announcement.id = "i-" + node.settings.node.value;
        announcement.startedAtMs = node.instance->startedAtMs;
        announcement.sequence = ++node.instance->sequence;
        announcement.service = node.settings.service;
        announcement.address = node.settings.instanceEndpoint;
        announcement.slots = Slots;
        return announcement;
    }

    void announce(SoakNode & node)
    {
        auto &late = node.instance->lateAnnouncements;
        while (!late.empty() && clock.now() >= late.front().first) {
            node.process->node->announce(late.front().second, ignoreOutcome);
            late.pop_front();
        }
        if (node.instance->silent || node.instance->withdrawn || clock.now() < node.nextAnnouncementAt) {
            return;
        }
        node.nextAnnouncementAt = clock.now() + AnnounceInterval;
        node.process->node->announce(nextAnnouncement(node), ignoreOutcome);
    }

    /// The instance announces its leaving in one of two ways and goes on serving. Announcements that it has sent before
    /// arrive late, at times after its node was killed and started again.
    void leave(SoakNode & node)
    {
        SoakInstance &instance = *node.instance;
        if (instance.withdrawn) {
            return;
        }
        instance.withdrawn = true;
        ++leavings;
        instance.soundAgainAt = clock.now() + std::chrono::milliseconds(500 + random->below(3000));
        for (int index = 0; index < 3; ++index) {
            instance.lateAnnouncements.emplace_back(
                clock.now() + std::chrono::milliseconds((index + 1) * random->below(800)), nextAnnouncement(node));
        }
        const auto acknowledge = [this, &instance, start = instance.startedAtMs](ReportOutcome outcome) {
            if (outcome == ReportOutcome::Acknowledged && instance.startedAtMs == start) {
                instance.leftAt = clock.now();
                ++acknowledgedLeavings;
            }
        };
        if (random->below(2) == 0) {
            node.process->node->withdraw("i-" + node.settings.node.value, instance.startedAtMs, acknowledge);
        } else {
            InstanceAnnouncement draining = nextAnnouncement(node);
            draining.draining = true;
            node.process->node->announce(draining, acknowledge);
        }
        if (random->below(2) == 0) {
            node.killAt = clock.now() + std::chrono::milliseconds(random->below(600));
        }
    }

    /// Ends the node's process at once. What its callers had not been answered is not counted.
    void kill(SoakNode & node)
    {
        for (SoakCaller &caller : callers) {
            if (caller.node == &node) {
                closeCaller(caller, false);
            }
        }
        node.process = nullptr;
        node.startAt = clock.now() + std::chrono::milliseconds(100 + random->below(900));
    }

    /// Starts one of the troubles at a random node. One node is always left alone.
    void cause()
    {
        SoakNode &node = nodes[1 + random->below(nodes.size() - 1)];
        if (!node.process || node.stopping) {
            return;
        }
        switch (random->below(8)) {
        case 0:
            node.stopping = true;
            node.process->node->shutDown([&node] {
                node.stopped = true;
            });
            break;
        case 1:
            node.instance->silent = true;
            node.instance->soundAgainAt = clock.now() + std::chrono::milliseconds(500 + random->below(4500));
            break;
        case 2:
        case 3:
            leave(node);
            break;
        case 4:
            kill(node);
            break;
        case 5:
            // Back from a copy that lacks up to the last few writes.
            table->restore(
                makeStoreVersion(storeEraOf(table->version),
                                 storeNumberOf(table->version)
                                     - random->below(std::min<std::uint64_t>(storeNumberOf(table->version), 6) + 1)));
            break;
        case 6:
            table->away = !table->away;
            storeBackAt = clock.now() + std::chrono::milliseconds(random->below(3000));
            break;
        default:
            ++configVersion;
            for (SoakNode &other : nodes) {
                if (other.process) {
                    other.process->node->applyConfig(config());
                }
            }
        }
    }

    void advanceNodes()
    {
        for (SoakNode &node : nodes) {
            SoakInstance &instance = *node.instance;
            if ((instance.silent || instance.withdrawn) && clock.now() >= instance.soundAgainAt) {
                instance.startedAtMs += instance.withdrawn ? 1 : 0;
                instance.silent = false;
                instance.withdrawn = false;
                instance.leftAt.reset();
                instance.sequence = 0;
            }
            if (node.process && !node.stopping && node.killAt && clock.now() >= *node.killAt) {
                node.killAt.reset();
                kill(node);
            }
            if (node.stopped) {
                node.process = nullptr;
                node.stopped = false;
                node.startAt = clock.now() + 300ms;
            } else if (!node.process && clock.now() >= node.startAt) {
                startNode(node);
            }
            if (node.process) {
                announce(node);
                node.process->poll();
            }
        }
        loop.context().restart();
        loop.context().poll();
    }

    /// Counts what a closed connection leaves without an answer.
    void closeCaller(SoakCaller & caller, bool byNode)
    {
        for (const SentRequest &request : caller.sent) {
            lost += byNode && clock.now() - request.sentAt > CrossingTime ? 1 : 0;
        }
        caller.sent.clear();
        caller.received.clear();
        caller.socket = nullptr;
    }

    void connect(SoakCaller & caller)
    {
        const SoakNode &node = nodes[random->below(nodes.size())];
        if (!node.process || !node.process->node->isReady()) {
            return;
        }
        auto socket = std::make_unique<Tcp::socket>(loop.context());
        boost::system::error_code error;
        socket->connect({boost::asio::ip::address_v4::loopback(), node.settings.callerEndpoint.port}, error);
        if (!error) {
            socket->non_blocking(true);
            caller.socket = std::move(socket);
            caller.node = &node;
        }
    }

    void send(SoakCaller & caller)
    {
        const bool idempotent = random->below(2) == 0;
        const bool large = idempotent && random->below(10) == 0;
        const std::uint64_t count = idempotent && !large ? 1 + random->below(6) : 1;
        std::string bytes;
        for (std::uint64_t index = 0; index < count; ++index) {
            const std::string id = "a" + std::to_string(++lastAttempt);
            bytes += (large            ? "GET /read/large/"
                          : idempotent ? "GET /read/"
                                       : "POST /write/")
                + id + " HTTP/1.1\r\nHost: shop\r\nKey: k1\r\nContent-Length: 0\r\nAttempt: " + id + "\r\n\r\n";
            caller.sent.push_back({id, idempotent, clock.now()});
            if (!idempotent) {
                nonIdempotent.insert(id);
            }
        }
        boost::system::error_code ignored; // The next read reports a closed connection.
        boost::asio::write(*caller.socket, boost::asio::buffer(bytes), ignored);
    }

    /// Takes a complete response off the received bytes. Returns false if there is none.
    bool takeResponse(SoakCaller & caller, bool &last)
    {
        const std::size_t headEnd = caller.received.find("\r\n\r\n");
        const std::size_t field = caller.received.find("Content-Length: ");
        if (headEnd == std::string::npos || field == std::string::npos) {
            return false;
        }
        const std::size_t length = std::stoul(caller.received.substr(field + std::string("Content-Length: ").size()));
        if (caller.received.size() < headEnd + 4 + length) {
            return false;
        }
        const std::string head = caller.received.substr(0, headEnd + 2);
        const std::string body = caller.received.substr(headEnd + 4, length);
        caller.received.erase(0, headEnd + 4 + length);
        last = head.find("Connection: close\r\n") != std::string::npos;
        if (caller.sent.empty()) {
            ++mixedUp;
            return true;
        }
        const SentRequest request = caller.sent.front();
        caller.sent.pop_front();
        const std::string status = head.substr(std::string("HTTP/1.1 ").size(), 3);
        // A request that is refused before it is read has no attempt id yet.
        const bool named = head.find("Attempt: ") != std::string::npos;
        const bool namesRequest = head.find("Attempt: " + request.id + "\r\n") != std::string::npos;
        mixedUp += (named || status != "503") && !namesRequest ? 1 : 0;
        mixedUp += status == "200" && body.substr(0, body.find_last_not_of(' ') + 1) != "answer " + request.id ? 1 : 0;
        if ((status == "503" || status == "429") && !request.idempotent) {
            refused.insert(request.id);
        }
        answered += status == "200" ? 1 : 0;
        return true;
    }

    void advanceCaller(SoakCaller & caller, bool sending)
    {
        if (!caller.socket) {
            if (sending) {
                connect(caller);
            }
            return;
        }
        boost::system::error_code error;
        const std::size_t bytes = caller.socket->read_some(boost::asio::buffer(chunk), error);
        caller.received.append(chunk.data(), bytes);
        bool last = false;
        while (!last && takeResponse(caller, last)) {
        }
        if (last || (error && error != boost::asio::error::would_block)) {
            closeCaller(caller, true);
            return;
        }
        if (!caller.sent.empty() && random->below(1500) == 0) {
            closeCaller(caller, false);
            return;
        }
        if (sending && caller.sent.empty() && clock.now() >= caller.nextRequestAt) {
            send(caller);
            caller.nextRequestAt = clock.now() + std::chrono::milliseconds(random->below(100));
        }
    }

    bool isIdle() const
    {
        return std::all_of(callers.begin(), callers.end(), [](const SoakCaller &caller) {
            return caller.sent.empty();
        });
    }

    void run(std::uint64_t seed, Duration duration)
    {
        random = std::make_unique<SeededRandom>(seed);
        for (const char *name : {"a1", "a2", "b1", "b2"}) {
            addNode(name, std::string(name).substr(0, 1));
        }
        for (SoakNode &node : nodes) {
            startNode(node);
        }
        callers.resize(16);
        const TimePoint end = clock.now() + duration;
        TimePoint nextCauseAt = clock.now() + 1s;
        // Every request has its final answer by its time limit, also one that was sent at the end.
        while (clock.now() < end + RequestTimeout + 1s && (clock.now() < end || !isIdle())) {
            advanceNodes();
            for (SoakCaller &caller : callers) {
                advanceCaller(caller, clock.now() < end);
            }
            table->away = table->away && clock.now() < storeBackAt;
            if (clock.now() >= nextCauseAt && clock.now() < end) {
                // The first trouble is a leaving that must be acknowledged, also in a short run.
                leavings == 0 ? leave(nodes.back()) : cause();
                nextCauseAt = clock.now() + std::chrono::milliseconds(50 + random->below(500));
            }
            std::this_thread::sleep_for(1ms);
        }
        int runTwice = 0;
        int ranAlthoughRefused = 0;
        for (const std::string &id : refused) {
            ranAlthoughRefused += runs.contains(id) ? 1 : 0;
        }
        for (const auto &[id, count] : runs) {
            runTwice += count > 1 && nonIdempotent.contains(id) ? 1 : 0;
        }
        int runsAfterLeaving = 0;
        for (const SoakNode &node : nodes) {
            runsAfterLeaving += node.instance->runsAfterLeaving;
        }
        const std::string result = "seed " + std::to_string(seed) + ": answered " + std::to_string(answered) + " of "
            + std::to_string(lastAttempt) + ", lost " + std::to_string(lost) + ", without an answer in time "
            + (isIdle() ? "none" : "some") + ", mixed up " + std::to_string(mixedUp) + ", run twice "
            + std::to_string(runTwice) + ", run although refused " + std::to_string(ranAlthoughRefused)
            + ", acknowledged leavings " + std::to_string(acknowledgedLeavings) + " of " + std::to_string(leavings)
            + ", run after one " + std::to_string(runsAfterLeaving);
        if (std::getenv("VT_REPORT") != nullptr) {
            std::printf("\n%s", result.c_str());
        }
        if (lost > 0 || mixedUp > 0 || runTwice > 0 || ranAlthoughRefused > 0 || runsAfterLeaving > 0 || !isIdle()
            || answered == 0 || acknowledgedLeavings == 0) {
            FAIL(result.c_str());
        }
    }
};

// Guards against requests that are lost, mixed up, run twice or sent to an instance that has left, while nodes are
// stopped, killed and started, instances fall silent or leave, the store is away or comes back from an older copy,
// configurations change and callers leave, all at the same time. A longer run: VT_SEED=N for each
// seed.
TEST(Soak, noRequestIsLostMixedUpRunTwiceOrSentToAnInstanceThatHasLeft)
{
    run(testSeed(), std::chrono::seconds(settingOr("VT_SOAK_SECONDS", 30)));
}
