#include "daemon/daemon.h"

#include "admin/adminserver.h"
#include "base/log.h"
#include "daemon/internal/adminservice.h"
#include "daemon/internal/decisionthread.h"
#include "daemon/internal/egressforwarder.h"
#include "daemon/internal/httphandlers.h"
#include "daemon/internal/ingressforwarder.h"
#include "metrics/metricssetup.h"
#include "node/nodesetup.h"
#include "store/platformsetup.h"
#include "transport/threadedhttpserver.h"
#include "transport/threadedpeerlink.h"

#include <unistd.h>

#include <fstream>
#include <thread>

namespace vanillatack {

namespace {

constexpr Log DaemonLog("daemon");
constexpr std::chrono::milliseconds ShutdownPollInterval{20};

/// Dispatches calls and control messages of other nodes. connect() must be called before the link starts; it takes the
/// place of constructor arguments because the link is created before the node and the ingress forwarder.
class NodeHandler final : public INodeHandler
{
public:
    void connect(IngressForwarder &ingress, NodeLock &lock, INode &node)
    {
        m_ingress = &ingress;
        m_lock = &lock;
        m_node = &node;
    }

    CallReply handleCall(const CallRequest &request, int peerSocket) override
    {
        return m_ingress->run(request, peerSocket);
    }

    void handleControl(const ControlFrame &frame) override
    {
        const auto lock = m_lock->acquire();
        m_node->receive(frame.sender, frame.message);
    }

private:
    IngressForwarder *m_ingress = nullptr;
    NodeLock *m_lock = nullptr;
    INode *m_node = nullptr;
};

ThreadedPeerLinkSettings linkSettings(const DaemonSettings &settings, const std::shared_ptr<MemoryBudget> &memory)
{
    ThreadedPeerLinkSettings link;
    link.listen = {settings.address, settings.nodePort};
    link.secret = settings.fleetSecret;
    link.maxConnections = static_cast<std::size_t>(settings.maxConnections);
    link.memory = memory;
    return link;
}

ThreadedHttpServerSettings
serverSettings(const DaemonSettings &settings, const Endpoint &listen, const std::shared_ptr<MemoryBudget> &memory)
{
    ThreadedHttpServerSettings server;
    server.listen = listen;
    server.maxConnections = static_cast<std::size_t>(settings.maxConnections);
    server.maxHeadBytes = static_cast<std::size_t>(settings.maxHeadBytes);
    server.maxBodyBytes = static_cast<std::size_t>(settings.maxBodyBytes);
    server.idleTimeout = settings.idleTimeout;
    server.memory = memory;
    return server;
}

PlatformServices makePlatform(const DaemonSettings &settings, const IClock &clock, IExecutor &executor)
{
    if (settings.embeddedPlatform) {
        return makeMemoryPlatform(executor);
    }
    HttpPlatformSettings platform;
    platform.address = settings.platform.address;
    platform.port = settings.platform.port;
    return makeHttpPlatform(platform, clock, executor);
}

SelfDescription selfDescription(const DaemonSettings &settings)
{
    return {settings.name, settings.zone, {settings.address, settings.nodePort}, settings.shareSlot, settings.seeds};
}

/// 0 when /proc/self/statm cannot be read.
double residentMemoryBytes()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

class Daemon final : public IDaemon
{
public:
    Daemon(const DaemonSettings &settings, const StateChart &upstreamChart)
        : m_settings(settings)
        , m_memory(std::make_shared<MemoryBudget>(static_cast<std::size_t>(settings.maxMessageMemoryMb) << 20))
        , m_decisions(m_clock, m_lock)
        , m_platform(makePlatform(settings, m_clock, m_decisions))
        , m_link(makeThreadedPeerLink(linkSettings(settings, m_memory),
                                      m_handler,
                                      m_random,
                                      [this](bool sent, std::size_t bytes) {
                                          m_metrics.metrics().countControlBytes(sent ? "sent" : "received", bytes);
                                      }))
        , m_node(makeNode({m_clock,
                           m_random,
                           *m_link,
                           *m_platform.table,
                           *m_platform.objects,
                           m_metrics.metrics(),
                           m_lock,
                           upstreamChart},
                          selfDescription(settings)))
        , m_upstreamClient(makeUpstreamClient({.memory = m_memory}))
        , m_ingress(m_clock, m_lock, *m_node, *m_upstreamClient)
        , m_egress(m_clock, m_lock, *m_node, *m_link)
        , m_callerHandler(m_egress)
        , m_localHandler(m_egress, m_lock, *m_node)
        , m_callerServer(
              makeThreadedHttpServer(serverSettings(settings, {settings.address, settings.callerPort}, m_memory),
                                     m_callerHandler))
        , m_localServer(
              makeThreadedHttpServer(serverSettings(settings, {settings.localAddress, settings.localPort}, m_memory),
                                     m_localHandler))
        , m_adminService(m_clock, m_random, m_lock, *m_node, m_settings)
        , m_adminServer(m_adminService, settings.operatorCredential)
    {
        m_handler.connect(m_ingress, m_lock, *m_node);
    }

    ~Daemon() override
    {
        stop();
    }

    Result<void> start() override
    {
        Result<void> opened = openPorts();
        if (!opened) {
            // Stopped here, since their threads call the node, which is destroyed before the link.
            m_callerServer->stop();
            m_adminServer.stop();
            m_link->stop();
            m_localServer->stop();
            return opened;
        }
        m_decisions.start(*m_node, [this](double controlLoad) {
            updateGauges(controlLoad);
        });
        m_running = true;
        DaemonLog.info("The node is running.",
                       {{"node", m_settings.name.value},
                        {"zone", m_settings.zone.value},
                        {"callers", m_settings.address + ":" + std::to_string(m_settings.callerPort)}});
        return success();
    }

    void shutDown() override
    {
        const TimePoint begin = m_clock.now();
        {
            const auto lock = m_lock.acquire();
            m_node->startShutdown();
        }
        m_callerServer->startDraining();
        const TimePoint earliest = begin + m_settings.drainPeriod;
        const TimePoint latest = begin + m_settings.shutdownTimeout;
        while (m_clock.now() < earliest || (requestsInProgress() > 0 && m_clock.now() < latest)) {
            std::this_thread::sleep_for(ShutdownPollInterval);
        }
        const std::size_t unfinished = requestsInProgress();
        DaemonLog.info("Shutting down: closing the ports; " + std::to_string(unfinished)
                           + " requests are still running.",
                       {{"unfinished", std::to_string(unfinished)}});
        stop();
    }

private:
    void updateGauges(double controlLoad)
    {
        IMetrics &metrics = m_metrics.metrics();
        metrics.setGauge("control_cpu_ratio", controlLoad);
        metrics.setGauge("resident_memory_bytes", residentMemoryBytes());
        metrics.setGauge("open_caller_connections", static_cast<double>(m_callerServer->connections()));
        metrics.setGauge("open_node_connections", static_cast<double>(m_link->connections()));
    }

    Result<void> openPorts()
    {
        BOOST_OUTCOME_TRY(m_link->start());
        BOOST_OUTCOME_TRY(m_localServer->start());
        BOOST_OUTCOME_TRY(m_callerServer->start());
        BOOST_OUTCOME_TRY(m_adminServer.start({m_settings.address, m_settings.adminPort}));
        // Last, since the metrics port closes only with the destruction of this object.
        BOOST_OUTCOME_TRY(m_metrics.startServer({m_settings.address, m_settings.metricsPort}));
        return success();
    }

    std::size_t requestsInProgress()
    {
        const auto lock = m_lock.acquire();
        return m_node->requestsInProgress();
    }

    void stop()
    {
        if (!m_running) {
            return;
        }
        m_running = false;
        m_callerServer->stop();
        m_adminServer.stop();
        {
            const auto lock = m_lock.acquire();
            m_node->leaveFleet();
        }
        m_link->stop();
        m_localServer->stop();
        m_decisions.stop();
    }

    const DaemonSettings m_settings;
    std::shared_ptr<MemoryBudget> m_memory;
    SystemClock m_clock;
    SystemRandom m_random;
    NodeLock m_lock;
    NodeHandler m_handler;
    MetricsSetup m_metrics;
    DecisionThread m_decisions;
    PlatformServices m_platform;
    std::unique_ptr<IThreadedPeerLink> m_link;
    std::unique_ptr<INode> m_node;
    std::unique_ptr<IUpstreamClient> m_upstreamClient;
    IngressForwarder m_ingress;
    EgressForwarder m_egress;
    CallerHttpHandler m_callerHandler;
    LocalHttpHandler m_localHandler;
    std::unique_ptr<IThreadedHttpServer> m_callerServer;
    std::unique_ptr<IThreadedHttpServer> m_localServer;
    AdminService m_adminService;
    AdminServer m_adminServer;
    bool m_running = false;
};

} // namespace

std::unique_ptr<IDaemon> makeDaemon(const DaemonSettings &settings, const StateChart &upstreamChart)
{
    return std::make_unique<Daemon>(settings, upstreamChart);
}

} // namespace vanillatack
