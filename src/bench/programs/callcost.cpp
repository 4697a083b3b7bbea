// Measures what one call costs the two nodes on its path, in processor time, allocations and system calls.
#include "bench/programs/allocationcounter.h"
#include "fleet/nodeentrycodec.h"
#include "metrics/metricssetup.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/peerlink.h"
#include "proxy/trafficnode.h"

#include <CLI/CLI.hpp>
#include <boost/asio/post.hpp>

#include <fcntl.h>
#include <sys/resource.h>

#include <atomic>
#include <cstdlib>
#include <future>
#include <iostream>
#include <mutex>
#include <thread>

using namespace vanillatack;
using namespace std::chrono_literals;

namespace {

constexpr const char *AttemptHeader = "Attempt";
constexpr const char *RegistryTable = "vanillatack-nodes";
/// Interval at which watches look for new rows.
constexpr Duration PollInterval = 50ms;
/// Time between two reports of an idle node.
constexpr Duration ReportInterval = 250ms;
constexpr Duration SetupTimeout = 10s;

Duration threadTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

/// Wake-ups of the calling thread: voluntary context switches.
long threadWakeUps()
{
    rusage usage{};
    getrusage(RUSAGE_THREAD, &usage);
    return usage.ru_nvcsw;
}

/// The registry rows of the fleet, shared by the event loops of all threads.
class SharedRows
{
public:
    struct Read {
        std::vector<VersionedRow> rows;
        std::uint64_t version = 0;
    };

    Read after(std::uint64_t version)
    {
        const std::lock_guard lock(m_mutex);
        Read result{.rows = {}, .version = m_version};
        for (const auto &[key, row] : m_rows) {
            if (row.version > version) {
                result.rows.push_back(row);
            }
        }
        return result;
    }

    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        m_rows[key] = {key, value, ++m_version, false};
    }

private:
    std::mutex m_mutex;
    std::map<std::string, VersionedRow> m_rows;
    std::uint64_t m_version = 0;
};

/// Access to the shared rows from one event loop. Writes always succeed: each node writes its own row only.
class LoopStore final : public ITableStore
{
public:
    LoopStore(EventLoop &loop, SharedRows &rows)
        : m_loop(loop)
        , m_rows(rows)
    {
    }

    void read(const std::string & /*table*/, const std::string & /*fromKey*/, TableCompletion completion) override
    {
        m_loop.callAfter(1ms, [this, completion = std::move(completion)] {
            complete(m_rows.after(0), completion);
        });
    }

    void watch(const std::string & /*table*/, std::uint64_t after, Duration wait, TableCompletion completion) override
    {

        m_loop.callAfter(PollInterval, [this, after, wait, completion = std::move(completion)] {
            SharedRows::Read read = m_rows.after(after);
            if (read.rows.empty() && wait > PollInterval) {
                watch(RegistryTable, after, wait - PollInterval, completion);
                return;
            }
            complete(std::move(read), completion);
        });
    }

    void write(const ConditionalWrite &write, TableCompletion completion) override
    {
        m_rows.put(write.key, write.value.value_or(""));
        m_loop.callAfter(1ms, [this, completion = std::move(completion)] {
            complete({.rows = {}, .version = m_rows.after(0).version}, completion);
        });
    }

private:
    void complete(SharedRows::Read read, const TableCompletion &completion)
    {
        TableAnswer answer;
        answer.outcome = TableOutcome::Done;
        answer.rows = std::move(read.rows);
        answer.version = read.version;
        answer.storeClock = SystemClock().elapsed();
        completion(std::move(answer));
    }

    EventLoop &m_loop;
    SharedRows &m_rows;
};

HeaderNames headerNames()
{
    return {.attemptId = AttemptHeader,
            .timeLeft = "Time-Left",
            .key = "Key",
            .workspace = "Workspace",
            .callerService = "Caller-Service",
            .expectedInstance = "Expected",
            .notExecuted = "Not-Executed",
            .signature = "Signature",
            .requestLimit = "Limit",
            .leaving = "Leaving"};
}

std::uint16_t freePort()
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
    return acceptor.local_endpoint().port();
}

TrafficConfig makeConfig()
{
    TrafficRoute open;
    open.name = RouteName("open");
    open.prefix = "/open/";
    open.services = {{ServiceName("parts"), 1}};
    open.kind = RouteKind::Idempotent;
    open.open = true;
    open.timeout = 5s;
    TrafficRoute keyed = open;
    keyed.name = RouteName("keyed");
    keyed.prefix = "/keyed/";
    keyed.open = false;
    TrafficConfig config;
    config.version = 1;
    config.hosts = {{"shop", {open, keyed}}};
    config.workspaces.push_back(
        {.name = WorkspaceName("acme"), .keys = {"k1"}, .rank = std::nullopt, .ratePerSecond = 1e6, .burst = 1e6});
    return config;
}

/// What a thread has used.
struct Usage {
    Duration processorTime{0};
    std::uint64_t allocations = 0;
    long wakeUps = 0;

    Usage operator-(const Usage &other) const
    {
        return {processorTime - other.processorTime, allocations - other.allocations, wakeUps - other.wakeUps};
    }
};

/// A node on a thread of its own.
class NodeThread
{
public:
    NodeThread(SharedRows &rows, const std::string &name, const std::string &service, const Endpoint &instance)
        : m_store(m_loop, rows)
    {
        m_settings.node = NodeName(name);
        m_settings.zone = ZoneName("z");
        m_settings.service = ServiceName(service);
        m_settings.callerEndpoint = {"127.0.0.1", freePort()};
        m_settings.peerEndpoint = {"127.0.0.1", freePort()};
        m_settings.instanceEndpoint = instance;
        m_settings.headers = headerNames();
        m_settings.logDescriptor = open("/dev/null", O_WRONLY | O_CLOEXEC);
        m_settings.keyGrace = 1h;
        m_settings.announceInterval = 1h;
        m_node = makeTrafficNode(m_loop, m_clock, m_random, m_store, m_metrics.metrics(), m_settings);
    }

    ~NodeThread()
    {
        m_loop.stop();
        m_thread.join();
    }

    void start(const InstanceAnnouncement &announcement)
    {
        if (const Result<void> started = m_node->start(); !started) {
            std::cerr << started.error().text() << '\n';
            std::exit(EXIT_FAILURE);
        }
        m_node->applyConfig(makeConfig());
        m_node->confirmConfig(
            {.storeClock = m_clock.elapsed(), .sent = m_clock.elapsed(), .received = m_clock.elapsed()});
        m_node->announce(announcement, [](ReportOutcome) {});
        m_thread = std::thread([this] {
            m_loop.run();
        });
    }

    Usage usage()
    {
        std::promise<Usage> promise;
        boost::asio::post(m_loop.context(), [&promise] {
            promise.set_value({threadTime(), threadAllocations(), threadWakeUps()});
        });
        return promise.get_future().get();
    }

    [[nodiscard]] const ProxySettings &settings() const
    {
        return m_settings;
    }

private:
    EventLoop m_loop;
    SystemClock m_clock;
    BatchedSystemRandom m_random;
    MetricsSetup m_metrics;
    LoopStore m_store;
    ProxySettings m_settings;
    std::unique_ptr<ITrafficNode> m_node;
    std::thread m_thread;
};

/// An instance that answers at once with a body of fixed size.
class Instance final : public IHttpListener
{
public:
    Instance(EventLoop &loop, std::size_t answerBytes)
        : m_server(makeHttpServer(loop, *this))
        , m_body(answerBytes, 'x')
    {
        if (const Result<void> opened = m_server->listen({"127.0.0.1", 0}); !opened) {
            std::cerr << opened.error().text() << '\n';
            std::exit(EXIT_FAILURE);
        }
    }

    void onRequest(ExchangeId exchange, HttpRequest request, const std::string & /*peer*/) override
    {
        HttpResponse response;
        response.status = 200;
        response.headers = {{"Signature", "s"}, {AttemptHeader, request.header(AttemptHeader)}};
        response.body = m_body;
        m_server->respond(exchange, std::move(response));
    }

    void onExchangeAbandoned(ExchangeId /*exchange*/) override
    {
    }

    [[nodiscard]] Endpoint endpoint() const
    {
        return {"127.0.0.1", m_server->port()};
    }

private:
    std::unique_ptr<IHttpServer> m_server;
    std::string m_body;
};

/// Sends the reports of nodes that exist in the registry only.
class OtherNodes final : private IPeerListener
{
public:
    OtherNodes(EventLoop &loop, SharedRows &rows, int count)
        : m_loop(loop)
        , m_link(makePeerLink(loop, *this, {}))
    {
        if (const Result<void> opened = m_link->listen({"127.0.0.1", freePort()}); !opened) {
            std::cerr << opened.error().text() << '\n';
            std::exit(EXIT_FAILURE);
        }
        for (int index = 0; index < count; ++index) {
            NodeReport report;
            report.node = NodeName("other-" + std::to_string(index));
            report.startedAtMs = 1;
            report.service = ServiceName("service-" + std::to_string(index % 4));
            report.slots = 50;
            for (int route = 0; route < 4; ++route) {
                report.loads.push_back({RouteName("route-" + std::to_string(route)), 3.5, 0.09});
            }
            report.edges.push_back({RouteName("route-1"), RouteName("route-2"), 0.5});
            m_reports.push_back(report);
            NodeEntry entry;
            entry.node = report.node;
            entry.zone = ZoneName("z");
            entry.peerEndpoint = {"127.0.0.1", 1}; // Nothing listens there; reports to it are lost.
            entry.service = report.service;
            entry.nodeStartedAtMs = 1;
            entry.instance = "i";
            entry.slots = 50;
            entry.accepting = true;
            entry.leaving = true; // Does not own rates, since it would not answer.
            rows.put(entry.node.value, formatNodeEntry(entry));
        }
    }

    void start(const std::vector<Endpoint> &nodes)
    {
        m_loop.callAfter(ReportInterval, [this, nodes] {
            for (NodeReport &report : m_reports) {
                ++report.sequence;
                m_link->send(nodes, report);
            }
            start(nodes);
        });
    }

private:
    void onCall(PeerCallId /*call*/, CallRequest /*request*/) override
    {
    }
    void onTableWatch(PeerCallId /*call*/, TableWatch /*watch*/) override
    {
    }
    void onCallAbandoned(PeerCallId /*call*/) override
    {
    }
    void onDatagram(const PeerDatagram & /*message*/, const Endpoint & /*sender*/) override
    {
    }

    EventLoop &m_loop;
    std::unique_ptr<IPeerLink> m_link;
    std::vector<NodeReport> m_reports;
};

struct Plan {
    int calls = 20000;
    int concurrent = 4;
    double perSecond = 0; ///< 0: each call starts when an earlier one has ended.
    std::size_t requestBytes = 0;
    std::size_t answerBytes = 200;
    int otherNodes = 0;
    bool keyed = false;
};

/// Sends calls to the near node and counts the answers.
class Caller
{
public:
    Caller(EventLoop &loop, const Endpoint &node, const Plan &plan)
        : m_loop(loop)
        , m_client(makeHttpClient(loop, {}))
        , m_node(node)
        , m_plan(plan)
    {
    }

    /// Sends one call; returns whether it was answered with 200.
    bool probe()
    {
        std::optional<int> status;
        send([&status](int received) {
            status = received;
        });
        const auto start = std::chrono::steady_clock::now();
        while (!status && std::chrono::steady_clock::now() - start < SetupTimeout) {
            m_loop.context().run_for(1ms);
        }
        return status == 200;
    }

    void run()
    {
        m_left = m_plan.calls;
        m_open = m_plan.calls;
        if (m_plan.perSecond > 0) {
            scheduleNext();
        } else {
            for (int index = 0; index < m_plan.concurrent; ++index) {
                sendNext();
            }
        }
        while (m_open > 0) {
            m_loop.context().run_for(1ms);
        }
    }

    [[nodiscard]] int failures() const
    {
        return m_failures;
    }

private:
    void send(std::function<void(int)> completion)
    {
        HttpRequest request;
        request.method = m_plan.requestBytes > 0 ? "POST" : "GET";
        request.target = m_plan.keyed ? "/keyed/item/17" : "/open/item/17";
        request.headers = {{"Host", "shop"}, {AttemptHeader, "a" + std::to_string(++m_lastId)}, {"Time-Left", "4000"}};
        if (m_plan.keyed) {
            request.headers.emplace_back("Key", "k1");
        }
        request.body = std::string(m_plan.requestBytes, 'b');
        m_client->send(m_node, request, 5s, {}, [completion = std::move(completion)](const ClientResult &result) {
            completion(result.outcome == ClientOutcome::Complete ? result.response.status : 0);
        });
    }

    void sendNext()
    {
        if (m_left == 0) {
            return;
        }
        --m_left;
        send([this](int status) {
            m_failures += status == 200 ? 0 : 1;
            --m_open;
            if (m_plan.perSecond <= 0) {
                sendNext();
            }
        });
    }

    void scheduleNext()
    {
        if (m_left == 0) {
            return;
        }
        sendNext();
        m_loop.callAfter(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / m_plan.perSecond)),
                         [this] {
                             scheduleNext();
                         });
    }

    EventLoop &m_loop;
    std::unique_ptr<IHttpClient> m_client;
    Endpoint m_node;
    Plan m_plan;
    int m_left = 0;
    int m_open = 0;
    int m_failures = 0;
    int m_lastId = 0;
};

void printRow(const std::string &name, const Usage &usage, int calls)
{
    const double microseconds = std::chrono::duration<double, std::micro>(usage.processorTime).count();
    std::cout << name << ": " << microseconds / calls << " us, " << static_cast<double>(usage.allocations) / calls
              << " allocations, " << static_cast<double>(usage.wakeUps) / calls << " wake-ups for each call\n";
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Measures the processor time, allocations and wake-ups of a call at the two nodes on its path.");
    Plan plan;
    app.add_option("--calls", plan.calls, "Number of calls")->check(CLI::PositiveNumber);
    app.add_option("--concurrent", plan.concurrent, "Calls in flight, unless --rate is given")
        ->check(CLI::PositiveNumber);
    app.add_option("--rate", plan.perSecond, "Calls per second; 0: as fast as answers arrive")
        ->check(CLI::NonNegativeNumber);
    app.add_option("--request-bytes", plan.requestBytes, "Size of each request body");
    app.add_option("--answer-bytes", plan.answerBytes, "Size of each answer body");
    app.add_option("--nodes", plan.otherNodes, "Further nodes of the zone that send reports")
        ->check(CLI::NonNegativeNumber);
    app.add_flag("--keyed", plan.keyed, "Requests with a key of a workspace that has a rate limit");
    CLI11_PARSE(app, argc, argv);

    EventLoop loop;
    SharedRows rows;
    Instance instance(loop, plan.answerBytes);
    OtherNodes others(loop, rows, plan.otherNodes);
    NodeThread nearNode(rows, "near", "desk", {"127.0.0.1", freePort()});
    NodeThread farNode(rows, "far", "parts", instance.endpoint());
    InstanceAnnouncement announcement;
    announcement.id = "i-parts";
    announcement.startedAtMs = 1;
    announcement.sequence = 1;
    announcement.service = ServiceName("parts");
    announcement.address = instance.endpoint();
    announcement.slots = 100;
    farNode.start(announcement);
    InstanceAnnouncement idle = announcement;
    idle.id = "i-desk";
    idle.service = ServiceName("desk");
    idle.address = nearNode.settings().instanceEndpoint;
    nearNode.start(idle);
    others.start({nearNode.settings().peerEndpoint, farNode.settings().peerEndpoint});

    Caller caller(loop, nearNode.settings().callerEndpoint, plan);
    const auto start = std::chrono::steady_clock::now();
    while (!caller.probe()) {
        if (std::chrono::steady_clock::now() - start > SetupTimeout) {
            std::cerr << "The nodes do not serve calls; run with fewer --nodes or on a less busy machine.\n";
            return EXIT_FAILURE;
        }
    }
    const Usage nearBefore = nearNode.usage();
    const Usage farBefore = farNode.usage();
    caller.run();
    printRow("node of the caller  ", nearNode.usage() - nearBefore, plan.calls);
    printRow("node of the instance", farNode.usage() - farBefore, plan.calls);
    std::cout << "failed: " << caller.failures() << " of " << plan.calls << " calls\n";
    return caller.failures() == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
