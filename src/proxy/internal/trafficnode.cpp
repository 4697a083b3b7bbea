#include "proxy/trafficnode.h"

#include "attempts/attemptssetup.h"
#include "base/durations.h"
#include "base/log.h"
#include "fleet/zonefeed.h"
#include "proxy/internal/fleetcontrol.h"
#include "proxy/internal/shutdownplan.h"

#include <algorithm>

namespace vanillatack {

namespace {

constexpr Duration ShutdownCheckInterval = std::chrono::milliseconds(50);
/// Time for which the end of the process waits for the reader of the decision log.
constexpr Duration LogFlushTimeout = std::chrono::milliseconds(50);
/// How often pending asks for tokens are checked for missing answers.
constexpr Duration AskCheckInterval = std::chrono::milliseconds(25);

class TrafficNode final : public ITrafficNode, private IPeerListener, private IRateLink, private IZoneWatches
{
public:
    TrafficNode(EventLoop &loop,
                const IClock &clock,
                IRandom &random,
                ITableStore &store,
                IMetrics &metrics,
                const ProxySettings &settings,
                std::shared_ptr<MemoryBudget> memory)
        : m_loop(loop)
        , m_clock(clock)
        , m_settings(settings)
        , m_memory(memory ? std::move(memory) : std::make_shared<MemoryBudget>(settings.memoryBytes))
        , m_decisions(clock, settings.node.value, settings.logDescriptor)
        , m_ingress(loop, clock, m_settings, m_decisions, metrics, m_memory)
        , m_directory(settings.zone)
        , m_rateLimiter(settings.node, settings.rateTolerance, random, *this)
        , m_rootRequestRetryBudget(makeRetryBudget(clock, settings.freeRetries))
        , m_innerCallRetryBudget(makeRetryBudget(clock, 0))
        , m_egress(dependencies(random, metrics))
        , m_feed(
              store,
              clock,
              [&loop](Duration delay, std::function<void()> call) {
                  loop.callAfter(delay, std::move(call));
              },
              *this)
        , m_control(dependencies(random, metrics), m_egress, m_feed)
        , m_server(makeHttpServer(loop, m_egress, m_memory))
        , m_link(makePeerLink(loop, *this, {.maxConnections = settings.maxPeerConnections, .memory = m_memory}))
    {
        m_rootRequestRetryBudget->setRatioPercent(settings.retryPercent);
        m_innerCallRetryBudget->setRatioPercent(settings.innerCallRetryPercent);
        m_egress.connect(*m_server, *m_link);
    }

    Result<void> start() override;
    void updateSettings(const ProxySettings &settings) override;
    void applyConfig(TrafficConfig config) override;
    void confirmConfig(const StoreConfirmation &confirmation) override;
    void recordStoreReachable(bool reachable, const std::string &reason) override;
    AnnouncementVerdict announce(const InstanceAnnouncement &announcement, Acknowledge acknowledge) override;
    AnnouncementVerdict
    withdraw(const std::string &instance, std::uint64_t startedAtMs, Acknowledge acknowledge) override;
    [[nodiscard]] ITableStore &tableStore() override
    {
        return m_feed;
    }
    [[nodiscard]] bool isReady() const override;
    void shutDown(std::function<void()> done) override;

private:
    NodeDependencies dependencies(IRandom &random, IMetrics &metrics)
    {
        return {m_loop,
                m_clock,
                random,
                m_settings,
                m_decisions,
                metrics,
                m_directory,
                m_rateLimiter,
                m_shedder,
                *m_rootRequestRetryBudget,
                *m_innerCallRetryBudget,
                m_ingress,
                m_memory};
    }

    void onCall(PeerCallId call, CallRequest request) override;
    void onTableWatch(PeerCallId call, TableWatch watch) override;
    void onCallAbandoned(PeerCallId call) override;
    void onDatagram(const PeerDatagram &message, const Endpoint &sender) override;
    void sendAsk(const NodeName &owner, const RateAsk &ask) override;
    void sendGrant(const NodeName &asker, const RateGrant &grant) override;
    void sendTo(const NodeName &node, const PeerDatagram &message);
    void scheduleAskCheck();
    [[nodiscard]] std::optional<NodeName> relay() const override;
    [[nodiscard]] std::vector<NodeName> alternativeSources() override;
    SentWatchId sendWatch(const NodeName &node,
                          TableWatch watch,
                          std::function<void(std::optional<TableChanges>)> completion) override;
    void cancelWatch(SentWatchId watch) override;
    void answerWatch(PeerWatchId watch, TableChanges changes) override;

    void addDeparture(const Departure &departure, Acknowledge acknowledge);
    void checkShutdown();

    EventLoop &m_loop;
    const IClock &m_clock;
    ProxySettings m_settings;
    std::shared_ptr<MemoryBudget> m_memory;
    DecisionLog m_decisions;
    IngressProxy m_ingress;
    NodeDirectory m_directory;
    WorkspaceRateLimiter m_rateLimiter;
    LoadShedder m_shedder;
    std::unique_ptr<IRetryBudget> m_rootRequestRetryBudget;
    std::unique_ptr<IRetryBudget> m_innerCallRetryBudget;
    EgressProxy m_egress;
    ZoneFeed m_feed;
    FleetControl m_control;
    std::unique_ptr<IHttpServer> m_server;
    std::unique_ptr<IPeerLink> m_link;
    std::map<PeerCallId, TicketId> m_calls;
    bool m_askCheckScheduled = false;
    std::function<void()> m_shutdownCompletion; ///< Set once the shutdown has started.
    TimePoint m_shutdownStartedAt;
};

Result<void> TrafficNode::start()
{
    if (Result<void> opened = m_server->listen(m_settings.callerEndpoint); !opened) {
        return opened;
    }
    if (Result<void> opened = m_link->listen(m_settings.peerEndpoint); !opened) {
        return opened;
    }
    const auto startedAt = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.wallNow().time_since_epoch());
    m_decisions.record("node.start",
                       {{"zone", m_settings.zone.value},
                        {"service", m_settings.service.value},
                        {"started_ms", std::to_string(startedAt.count())}});
    m_control.start(*m_link, static_cast<std::uint64_t>(startedAt.count()));
    return success();
}

void TrafficNode::updateSettings(const ProxySettings &settings)
{
    m_settings.keyGrace = settings.keyGrace;
    m_settings.shutdownGrace = settings.shutdownGrace;
    m_settings.retryPercent = settings.retryPercent;
    m_settings.innerCallRetryPercent = settings.innerCallRetryPercent;
    m_rootRequestRetryBudget->setRatioPercent(settings.retryPercent);
    m_innerCallRetryBudget->setRatioPercent(settings.innerCallRetryPercent);
    m_decisions.record("node.reload",
                       {{"key_grace_ms", millisecondsText(settings.keyGrace)},
                        {"shutdown_grace_ms", millisecondsText(settings.shutdownGrace)},
                        {"retry_percent", std::to_string(settings.retryPercent)}});
}

void TrafficNode::applyConfig(TrafficConfig config)
{
    if (config.version <= m_egress.routeTable().config().version) {
        return;
    }
    m_decisions.record("config.applied",
                       {{"config", std::to_string(config.version)},
                        {"before", std::to_string(m_egress.routeTable().config().version)},
                        {"config_age_ms", m_egress.configAgeText()},
                        {"hosts", std::to_string(config.hosts.size())},
                        {"workspaces", std::to_string(config.workspaces.size())}});
    m_egress.setRouteTable(RouteTable(std::move(config)));
}

void TrafficNode::confirmConfig(const StoreConfirmation &confirmation)
{
    m_egress.freshness().confirm(confirmation);
}

void TrafficNode::recordStoreReachable(bool reachable, const std::string &reason)
{
    m_decisions.record(reachable ? "store.regained" : "store.lost", {{"reason", reason}});
}

AnnouncementVerdict TrafficNode::announce(const InstanceAnnouncement &announcement, Acknowledge acknowledge)
{
    const AnnouncementVerdict verdict = m_ingress.announce(announcement);
    if (verdict == AnnouncementVerdict::Foreign) {
        acknowledge(ReportOutcome::Foreign);
    } else if (announcement.draining) {
        addDeparture({announcement.id, announcement.startedAtMs}, std::move(acknowledge));
    } else {
        m_control.publishLocalState();
        acknowledge(ReportOutcome::Acknowledged);
    }
    return verdict;
}

AnnouncementVerdict
TrafficNode::withdraw(const std::string &instance, std::uint64_t startedAtMs, Acknowledge acknowledge)
{
    const Departure departure = m_ingress.instance().departureOf(instance, startedAtMs);
    const AnnouncementVerdict verdict = m_ingress.withdraw(instance, startedAtMs);
    addDeparture(departure, std::move(acknowledge));
    return verdict;
}

void TrafficNode::addDeparture(const Departure &departure, Acknowledge acknowledge)
{
    m_control.addDeparture(departure, [acknowledge = std::move(acknowledge)](bool kept) {
        acknowledge(kept ? ReportOutcome::Acknowledged : ReportOutcome::NotKept);
    });
}

bool TrafficNode::isReady() const
{
    return !m_shutdownCompletion && m_egress.hasRequiredConfig() && m_control.registryLoaded();
}

void TrafficNode::onCall(PeerCallId call, CallRequest request)
{
    const auto pending = std::make_shared<bool>(true);
    const TicketId ticket = m_ingress.offer(std::move(request), [this, call, pending](CallReply reply) {
        *pending = false;
        m_calls.erase(call);
        m_link->reply(call, std::move(reply));
    });
    if (*pending) {
        m_calls[call] = ticket;
    }
}

void TrafficNode::onCallAbandoned(PeerCallId call)
{
    const auto entry = m_calls.extract(call);
    if (!entry.empty()) {
        m_ingress.abandon(entry.mapped());
    } else {
        m_feed.onWatchAbandoned(PeerWatchId{call.value});
    }
}

void TrafficNode::onTableWatch(PeerCallId call, TableWatch watch)
{
    m_feed.onWatch(PeerWatchId{call.value}, watch);
}

std::optional<NodeName> TrafficNode::relay() const
{
    return m_control.registryLoaded() ? m_control.relayUnlessSelf() : std::nullopt;
}

std::vector<NodeName> TrafficNode::alternativeSources()
{
    return m_control.registryLoaded() ? m_control.alternativeSources() : std::vector<NodeName>();
}

SentWatchId TrafficNode::sendWatch(const NodeName &node,
                                   TableWatch watch,
                                   std::function<void(std::optional<TableChanges>)> completion)
{
    const NodeEntry *entry = m_directory.find(node);
    if (entry == nullptr) {
        m_loop.callAfter(Duration{0}, [completion = std::move(completion)] {
            completion(std::nullopt);
        });
        return {};
    }
    const OutgoingCallId id = m_link->watchTable(
        entry->peerEndpoint,
        std::move(watch),
        [completion = std::move(completion)](PeerCallOutcome outcome, TableChanges changes) {
            completion(outcome == PeerCallOutcome::Replied ? std::optional(std::move(changes)) : std::nullopt);
        });
    return SentWatchId{id.value};
}

void TrafficNode::cancelWatch(SentWatchId watch)
{
    m_link->cancel(OutgoingCallId{watch.value});
}

void TrafficNode::answerWatch(PeerWatchId watch, TableChanges changes)
{
    m_link->replyTable(PeerCallId{watch.value}, std::move(changes));
}

void TrafficNode::onDatagram(const PeerDatagram &message, const Endpoint &sender)
{
    const TimePoint now = m_clock.now();
    if (const auto *report = std::get_if<NodeReport>(&message)) {
        m_control.onReport(*report, sender);
    } else if (const auto *bundle = std::get_if<ReportBundle>(&message)) {
        m_control.onBundle(*bundle, sender);
    } else if (const auto *ask = std::get_if<RateAsk>(&message)) {
        m_rateLimiter.onAsk(*ask, now);
    } else if (const auto *grant = std::get_if<RateGrant>(&message)) {
        m_rateLimiter.onGrant(*grant, now);
    } else if (const auto *note = std::get_if<DepartureNote>(&message)) {
        m_control.onDepartureNote(*note, sender);
    }
}

void TrafficNode::sendAsk(const NodeName &owner, const RateAsk &ask)
{
    sendTo(owner, ask);
    scheduleAskCheck();
}

void TrafficNode::sendGrant(const NodeName &asker, const RateGrant &grant)
{
    sendTo(asker, grant);
}

void TrafficNode::sendTo(const NodeName &node, const PeerDatagram &message)
{
    if (const NodeEntry *entry = m_directory.find(node)) {
        m_link->send({entry->peerEndpoint}, message);
    }
}

/// Retries asks that may be lost. Repeats while any are pending.
void TrafficNode::scheduleAskCheck()
{
    if (m_askCheckScheduled) {
        return;
    }
    m_askCheckScheduled = true;
    m_loop.callAfter(AskCheckInterval, [this] {
        m_askCheckScheduled = false;
        m_rateLimiter.retryAsks(m_clock.now());
        if (m_rateLimiter.hasPendingAsks()) {
            scheduleAskCheck();
        }
    });
}

void TrafficNode::shutDown(std::function<void()> done)
{
    if (m_shutdownCompletion) {
        return;
    }
    m_decisions.record(
        "node.stopping",
        {{"requests", std::to_string(m_egress.inFlight())}, {"calls", std::to_string(m_ingress.inFlight())}});
    m_shutdownCompletion = std::move(done);
    m_shutdownStartedAt = m_clock.now();
    m_server->startDraining();
    const ShutdownPlan plan(m_settings.shutdownGrace);
    m_egress.limitDeadlines(m_shutdownStartedAt + plan.lastAnswerTime(), m_shutdownStartedAt + plan.requestTimeLimit());
    m_control.leave();
    checkShutdown();
}

void TrafficNode::checkShutdown()
{
    const Duration elapsed = m_clock.now() - m_shutdownStartedAt;
    const ShutdownPlan plan(m_settings.shutdownGrace);
    if (!plan.acceptsCalls(elapsed)) {
        m_ingress.refuseNewCalls();
    }
    if (!plan.acceptsRequests(elapsed)) {
        m_egress.refuseNewRequests();
    }
    const bool unsentResponses = m_server->hasUnsentResponses();
    const bool unsentFrames = m_link->hasUnsentFrames();
    const bool idle = m_egress.inFlight() == 0 && m_ingress.inFlight() == 0 && !unsentResponses && !unsentFrames;
    if (plan.shouldExit(elapsed, idle)) {
        m_decisions.record("node.stop",
                           {{"requests", std::to_string(m_egress.inFlight())},
                            {"calls", std::to_string(m_ingress.inFlight())},
                            {"unsent_responses", unsentResponses ? "yes" : "no"},
                            {"unsent_frames", unsentFrames ? "yes" : "no"}});
        (void)m_decisions.flush(LogFlushTimeout);
        m_shutdownCompletion();
        return;
    }
    m_loop.callAfter(ShutdownCheckInterval, [this] {
        checkShutdown();
    });
}

} // namespace

std::unique_ptr<ITrafficNode> makeTrafficNode(EventLoop &loop,
                                              const IClock &clock,
                                              IRandom &random,
                                              ITableStore &store,
                                              IMetrics &metrics,
                                              const ProxySettings &settings,
                                              std::shared_ptr<MemoryBudget> memory)
{
    return std::make_unique<TrafficNode>(loop, clock, random, store, metrics, settings, std::move(memory));
}

} // namespace vanillatack
