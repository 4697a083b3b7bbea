#include "node/internal/node.h"

#include "admission/admissionsetup.h"
#include "attempts/attemptssetup.h"
#include "base/log.h"
#include "burn/burnsetup.h"
#include "claims/claimssetup.h"
#include "membership/membershipsetup.h"
#include "quota/quotasetup.h"
#include "routing/routingsetup.h"

#include <algorithm>

namespace vanillatack {

namespace {

constexpr Log NodeLog("node");
constexpr std::chrono::milliseconds ModuleTickInterval{50};
constexpr std::chrono::seconds QuotaAndGaugeInterval{1};
/// Nodes that are not readers of their zone poll the platform every 30 s; 5 s are added for delays.
constexpr std::chrono::seconds MaxPlatformPollInterval{35};

RoutingSettings routingSettings(const SelfDescription &self)
{
    RoutingSettings settings;
    settings.node = self.node;
    settings.zone = self.zone;
    return settings;
}

} // namespace

std::unique_ptr<INode> makeNode(const NodeEnvironment &environment, const SelfDescription &self)
{
    return std::make_unique<Node>(environment, self);
}

Node::Node(const NodeEnvironment &environment, const SelfDescription &self)
    : m_environment(environment)
    , m_self(self)
    , m_startedAt(environment.clock.now())
    , m_ledger(makeRetryAllowanceLedger())
    , m_retryBudget(makeRetryBudget(environment.clock))
    , m_admission(makeAdmission(environment.clock, *this, {}))
    , m_router(makeRouter(environment.clock, environment.random, routingSettings(self)))
    , m_membership(makeMembership(environment.clock, environment.random, environment.sender, *this, self))
    , m_keyring(makeKeyring())
    , m_documents(makeDocuments(environment.clock,
                                environment.random,
                                environment.table,
                                environment.objects,
                                environment.sender,
                                *this,
                                *this,
                                self.node,
                                documentsSettings()))
    , m_quota(makeQuota(environment.clock,
                        environment.random,
                        environment.sender,
                        *this,
                        self.node,
                        self.endpoint,
                        m_membership->self().incarnation))
    , m_claims(makeClaims(environment.clock,
                          environment.random,
                          environment.table,
                          self.node,
                          m_membership->self().incarnation))
    , m_burn(createBurnCounters(environment.clock))
    , m_burnArchive({environment.clock,
                     environment.sender,
                     environment.table,
                     *m_burn,
                     {self.zone, self.node, m_membership->self().incarnation}})
    , m_upstream(environment.upstreamChart)
    , m_ingress(environment.clock, environment.random, *m_admission, *m_ledger)
    , m_egress({environment.clock,
                environment.random,
                m_ingress,
                *m_ledger,
                *m_retryBudget,
                *m_router,
                *m_keyring,
                *m_quota,
                *m_claims,
                *m_burn,
                environment.metrics,
                m_config})
    , m_nextModuleTick(m_startedAt)
    , m_nextQuotaAndGaugeUpdate(m_startedAt)
{
}

DocumentsSettings Node::documentsSettings()
{
    DocumentsSettings settings;
    settings.withdrawalRetention = [this] {
        return m_config.defaults.withdrawalRetention;
    };
    settings.validateConfiguration = [](const std::string &content) -> Result<void> {
        const ConfigParseResult parse = parseFleetConfig(content, "configuration");
        if (parse.config) {
            return success();
        }
        std::string problems;
        for (const TextProblem &problem : parse.problems) {
            problems += problem.text() + "\n";
        }
        return makeError(ErrorKind::InvalidConfiguration, problems);
    };
    return settings;
}

void Node::tick()
{
    const TimePoint now = m_environment.clock.now();
    m_admission->tick();
    m_claims->tick();
    if (now >= m_nextModuleTick) {
        m_nextModuleTick = now + ModuleTickInterval;
        m_upstream.tick(now);
        updateUpstream();
        m_membership->setVersions(m_documents->versions());
        m_membership->tick();
        m_documents->tick();
        m_quota->tick();
        if (m_burnArchive.isDue()) {
            m_burnArchive.tick(zoneCollector());
        }
    }
    if (now >= m_nextQuotaAndGaugeUpdate) {
        m_nextQuotaAndGaugeUpdate = now + QuotaAndGaugeInterval;
        updateQuota();
        updateGauges();
    }
}

void Node::receive(const Endpoint &from, const ControlMessage &message)
{
    struct Dispatch {
        Node &node;
        const Endpoint &from;

        void operator()(const Ping &content) const
        {
            node.m_membership->receive(from, content);
        }
        void operator()(const PingIndirect &content) const
        {
            node.m_membership->receive(from, content);
        }
        void operator()(const Ack &content) const
        {
            node.m_membership->receive(from, content);
        }
        void operator()(const MemberSync &content) const
        {
            node.m_membership->receive(from, content);
        }
        void operator()(const ZoneDigest &content) const
        {
            node.m_membership->receive(from, content);
        }
        void operator()(const DocumentFetch &content) const
        {
            node.m_documents->receive(from, content);
        }
        void operator()(const DocumentPush &content) const
        {
            node.m_documents->receive(from, content);
        }
        void operator()(const WithdrawalSync &content) const
        {
            node.m_documents->receive(from, content);
        }
        void operator()(const BorrowRequest &content) const
        {
            node.m_quota->receive(from, content);
        }
        void operator()(const BorrowGrant &content) const
        {
            node.m_quota->receive(from, content);
        }
        void operator()(const LoanReturn &content) const
        {
            node.m_quota->receive(from, content);
        }
        void operator()(const BurnPush &content) const
        {
            node.m_burnArchive.receive(content);
        }
    };
    std::visit(Dispatch{*this, from}, message);
}

// ---- egress ----

EgressDecision Node::beginRequest(const EgressRequest &request)
{
    return m_egress.beginRequest(request, nextRequest(), {m_documents->isReady(), areKeysStale()});
}

EgressDecision Node::resumeRequest(RequestId request, bool lastTry)
{
    return m_egress.resumeRequest(request, lastTry);
}

void Node::claim(RequestId request, const std::string &requestDigest, IClaims::ClaimCompletion done)
{
    m_egress.claim(request, requestDigest, std::move(done));
}

AttemptPlan Node::planAttempt(RequestId request)
{
    return m_egress.planAttempt(request);
}

RetryDecision Node::endAttempt(RequestId request, CallId call, TransportOutcome outcome, const CallReply &reply)
{
    return m_egress.endAttempt(request, call, outcome, reply);
}

void Node::endRequest(RequestId request, const StoredAnswer &answer, const Refusal &refusal)
{
    m_egress.endRequest(request, answer, refusal);
}

// ---- ingress ----

IngressDecision Node::offer(const CallRequest &request)
{
    return m_ingress.offer(request, nextRequest(), refusalIfNotServing(request));
}

Refusal Node::refusalIfNotServing(const CallRequest &request) const
{
    if (isDraining()) {
        return {RefusalKind::Draining, RunState::NotRun, std::chrono::seconds(1)};
    }
    // The caller's membership data can be older than a change of the service on this VM.
    if (!m_upstream.isServing() || m_upstream.announcement().service != request.service) {
        return {RefusalKind::NotReady, RunState::NotRun, std::chrono::seconds(1)};
    }
    return {};
}

std::optional<CallReply> Node::ticketRefusal(TicketId ticket)
{
    return m_ingress.ticketRefusal(ticket);
}

bool Node::isAdmitted(TicketId ticket) const
{
    return m_ingress.isAdmitted(ticket);
}

void Node::cancelTicket(TicketId ticket)
{
    m_ingress.cancelTicket(ticket);
}

UpstreamCall Node::start(TicketId ticket)
{
    return m_ingress.start(ticket, m_upstream.announcement().endpoint);
}

CallReply Node::finish(TicketId ticket, const UpstreamResult &result)
{
    return m_ingress.finish(ticket, result);
}

// ---- upstream and operators ----

Result<void> Node::announce(const UpstreamAnnouncement &announcement)
{
    const bool knownState =
        announcement.state == "cold" || announcement.state == "ready" || announcement.state == "draining";
    if (announcement.service.empty() || announcement.slots <= 0 || !knownState) {
        return makeError(ErrorKind::InvalidArgument,
                         "The announcement is not valid.",
                         "Send service, address, port, slots above 0, and state cold, ready or draining.");
    }
    const bool isNewInstance = m_upstream.announce(announcement, m_environment.clock.now());
    if (isNewInstance) {
        NodeLog.info("An upstream instance announced itself.",
                     {{"service", announcement.service.value}, {"address", announcement.endpoint.text()}});
        m_admission->setAnnouncedSlots(announcement.slots);
        configureAdmission();
        if (m_upstream.isCold()) {
            m_admission->startCold();
        }
    }
    updateUpstream();
    return success();
}

void Node::updateUpstream()
{
    const bool present = m_upstream.isServing() || m_upstream.isDraining();
    const UpstreamAnnouncement &announcement = m_upstream.announcement();
    m_membership->setUpstream(present ? announcement.service : ServiceName(), announcement.slots, m_upstream.isCold());
    m_membership->setDraining(isDraining());
    m_admission->setDraining(isDraining());
}

void Node::setOperatorDrain(bool draining)
{
    m_upstream.setOperatorDrain(draining);
    NodeLog.info(draining ? "An operator started draining this node." : "An operator ended the drain of this node.");
    updateUpstream();
}

void Node::startShutdown()
{
    m_shuttingDown = true;
    NodeLog.info("Shutdown started; draining the node.");
    updateUpstream();
}

void Node::leaveFleet()
{
    m_membership->leave();
}

bool Node::isDraining() const
{
    return m_shuttingDown || m_upstream.isDraining();
}

bool Node::areKeysStale() const
{
    const Duration grace = m_config.defaults.cutoffKeyGrace;
    const Duration uptime = m_environment.clock.now() - m_startedAt;
    const bool platformUnresponsive = m_documents->timeSincePlatformAnswer().value_or(uptime) > grace;
    const bool zonesUnresponsive = m_membership->timeSinceOtherZoneMessage().value_or(uptime) > grace;
    return platformUnresponsive && zonesUnresponsive;
}

bool Node::isReady(std::string &reason) const
{
    if (!m_documents->isReady()) {
        reason = "no configuration or keys yet: neither the platform nor a peer has answered";
    } else if (isDraining()) {
        reason = "draining";
    } else if (!m_upstream.isServing()) {
        reason = "no upstream has announced itself";
    } else {
        return true;
    }
    return false;
}

void Node::collectBurn(std::int64_t fromMinute, std::int64_t toMinute, std::function<void(Result<CollectedBurn>)> done)
{
    std::vector<ZoneName> zones;
    for (const auto &[name, zone] : m_config.zones) {
        zones.push_back(name);
    }
    m_burnArchive.collect(zones, fromMinute, toMinute, std::move(done));
}

Member Node::zoneCollector() const
{
    Member collector = m_membership->self();
    for (const Member &member : m_membership->members()) {
        const bool alive = member.state == MemberState::Alive || member.state == MemberState::Draining;
        if (alive && member.node < collector.node) {
            collector = member;
        }
    }
    return collector;
}

std::size_t Node::requestsInProgress() const
{
    return m_ingress.size() + m_egress.size();
}

UpstreamStatus Node::upstream() const
{
    const UpstreamAnnouncement &announcement = m_upstream.announcement();
    return {
        announcement.service, m_upstream.state(), announcement.endpoint, announcement.slots, m_admission->snapshot()};
}

std::vector<RefusalRecord> Node::recentRefusals() const
{
    return m_egress.recentRefusals();
}

const FleetConfig &Node::config() const
{
    return m_config;
}

IDocuments &Node::documents()
{
    return *m_documents;
}

IKeyring &Node::keyring()
{
    return *m_keyring;
}

IMembership &Node::membership()
{
    return *m_membership;
}

IQuota &Node::quota()
{
    return *m_quota;
}

IRouter &Node::router()
{
    return *m_router;
}

IBurnCounters &Node::burn()
{
    return *m_burn;
}

// ---- notifications of the modules ----

void Node::onAdmitted(TicketId ticket)
{
    m_ingress.admit(ticket);
    m_environment.listener.onTicketDecided(ticket);
}

void Node::onRefused(TicketId ticket, RefusalKind refusal, Duration retryAfter)
{
    m_ingress.refuse(ticket, refusal, retryAfter);
    m_environment.listener.onTicketDecided(ticket);
}

void Node::onServiceChanged(const ServiceName &service, const std::vector<Member> &instances)
{
    m_router->setInstances(service, instances);
}

void Node::onPeerVersions(const Endpoint &peer, const StateVersions &versions)
{
    m_documents->onPeerVersions(peer, versions);
}

void Node::onTokensAvailable(const WorkspaceName &workspace)
{
    m_environment.listener.onTokensAvailable(workspace);
}

std::vector<Endpoint> Node::spreadTargets(std::size_t count)
{
    return m_membership->spreadTargets(count);
}

bool Node::isAmongFirstRelays(std::size_t count) const
{
    return m_membership->isAmongFirstRelays(count);
}

void Node::onDocument(DocumentKind kind, const Document &document)
{
    if (kind == DocumentKind::Configuration) {
        applyConfiguration(document);
    } else {
        applyKeys(document);
    }
}

void Node::onWithdrawals(const std::vector<WithdrawnKey> &added)
{
    for (const WithdrawnKey &key : added) {
        m_keyring->addWithdrawn(key.key);
    }
    NodeLog.info("Applied new withdrawn keys; requests with them are refused.",
                 {{"count", std::to_string(added.size())}});
}

void Node::applyKeys(const Document &document)
{
    Result<std::vector<KeyRecord>> records = parseKeyDocument(document.content);
    if (!records) {
        NodeLog.error("Cannot parse the key document; keeping the previous keys. Apply a corrected version.",
                      {{"version", std::to_string(document.version)}, {"reason", records.error().text()}});
        return;
    }
    m_keyring->setRecords(std::move(records.value()));
    NodeLog.info("Applied a key document.", {{"version", std::to_string(document.version)}});
}

void Node::applyConfiguration(const Document &document)
{
    ConfigParseResult parse = parseFleetConfig(document.content, "configuration");
    if (!parse.config) {
        NodeLog.error("Cannot parse the configuration (problems: " + std::to_string(parse.problems.size())
                          + "); keeping the previous one. Apply a corrected version.",
                      {{"version", std::to_string(document.version)}, {"problem", parse.problems.front().text()}});
        return;
    }
    m_config = std::move(*parse.config);
    m_retryBudget->setRatioPercent(m_config.defaults.retryRatioPercent);
    m_claims->setRetention(m_config.defaults.claimRetention);
    m_burn->setObjectives(objectivesOf(m_config));
    configureAdmission();
    updateQuota();
    NodeLog.info("Applied a configuration.", {{"version", std::to_string(document.version)}});
}

void Node::configureAdmission()
{
    const FleetDefaults &defaults = m_config.defaults;
    AdmissionSettings settings;
    settings.queueLimit = defaults.queueLimit;
    settings.queueTimeout = defaults.queueTimeout;
    settings.deferrableQueueTimeout = defaults.deferrableQueueTimeout;
    settings.agingLimit = defaults.agingLimit;
    settings.backgroundPercent = defaults.backgroundPercent;
    const auto service = m_config.services.find(m_upstream.announcement().service);
    if (service != m_config.services.end()) {
        settings.queueLimit = service->second.queueLimit.value_or(settings.queueLimit);
        settings.queueTimeout = service->second.queueTimeout.value_or(settings.queueTimeout);
    }
    for (const auto &[name, workspace] : m_config.workspaces) {
        settings.weights[name] = workspace.weight;
    }
    m_admission->configure(settings);
}

ShareFraction Node::ownShare() const
{
    std::int64_t totalWeight = 0;
    for (const auto &[name, zone] : m_config.zones) {
        totalWeight += zone.stopped ? 0 : zone.quotaWeight;
    }
    const auto zone = m_config.zones.find(m_self.zone);
    const bool ownsSlot = m_self.shareSlot >= 0 && m_self.shareSlot < m_config.defaults.sharesPerZone;
    if (zone == m_config.zones.end() || zone->second.stopped || !ownsSlot || totalWeight == 0) {
        return {};
    }
    // When several nodes are configured with the same slot, the one that membership lists as its owner holds it.
    const std::vector<Member> owners = m_membership->shareOwners();
    const bool listed = std::any_of(owners.begin(), owners.end(), [this](const Member &owner) {
        return owner.node == m_self.node;
    });
    return listed ? ShareFraction{zone->second.quotaWeight, totalWeight * m_config.defaults.sharesPerZone}
                  : ShareFraction{};
}

void Node::updateQuota()
{
    std::map<WorkspaceName, WorkspaceQuota> quotas;
    for (const auto &[name, workspace] : m_config.workspaces) {
        quotas[name] = {workspace.ratePerSecond * TokensPerRequest, workspace.burst * TokensPerRequest};
    }
    const ShareFraction share = ownShare();
    m_quota->setShareOwners(m_membership->shareOwners());
    if (share != m_share || quotas != m_quotas) {
        m_share = share;
        m_quotas = quotas;
        m_quota->configure(quotas, share);
    }
}

void Node::updateGauges()
{
    IMetrics &metrics = m_environment.metrics;
    const AdmissionSnapshot admission = m_admission->snapshot();
    metrics.setGauge("concurrency_limit", admission.limit);
    metrics.setGauge("running_requests", admission.running);
    metrics.setGauge("queued_requests", admission.queued);
    metrics.setGauge("dropped_log_lines", static_cast<double>(droppedLogLines()));
    const StateVersions versions = m_documents->versions();
    metrics.setGauge("config_version", static_cast<double>(versions.configVersion));
    metrics.setGauge("keys_version", static_cast<double>(versions.keysVersion));
    metrics.setGauge("withdrawn_keys", static_cast<double>(versions.withdrawalCount));
    const std::vector<ZoneStatus> zones = m_membership->zones();
    const auto reachable = std::count_if(zones.begin(), zones.end(), [](const ZoneStatus &zone) {
        return zone.reachable;
    });
    metrics.setGauge("zone_members", static_cast<double>(m_membership->members().size()));
    metrics.setGauge("reachable_zones", static_cast<double>(reachable));
    const Duration sincePlatform =
        m_documents->timeSincePlatformAnswer().value_or(m_environment.clock.now() - m_startedAt);
    metrics.setGauge("platform_silence_seconds", std::chrono::duration<double>(sincePlatform).count());
    // With the default cutoff_key_grace of 300 s, this is reported before keys are refused (areKeysStale()).
    const bool zoneCutOff = m_config.zones.size() > 1 && reachable <= 1 && sincePlatform > MaxPlatformPollInterval;
    metrics.setGauge("zone_cut_off", zoneCutOff ? 1 : 0);
    metrics.setGauge("draining", isDraining() ? 1 : 0);
    metrics.setGauge("keys_accepted", areKeysStale() ? 0 : 1);
    std::string reason;
    metrics.setGauge("ready", isReady(reason) ? 1 : 0);
    updateQuotaGauges();
}

void Node::updateQuotaGauges()
{
    std::int64_t owned = 0;
    std::int64_t lent = 0;
    std::int64_t borrowed = 0;
    for (const QuotaSnapshot &workspace : m_quota->snapshot()) {
        owned += workspace.ownedRate;
        lent += workspace.lentRate;
        borrowed += workspace.borrowedRate;
    }
    constexpr double TokensPerRate = static_cast<double>(TokensPerRequest);
    m_environment.metrics.setGauge("quota_owned_rate", static_cast<double>(owned) / TokensPerRate);
    m_environment.metrics.setGauge("quota_lent_rate", static_cast<double>(lent) / TokensPerRate);
    m_environment.metrics.setGauge("quota_borrowed_rate", static_cast<double>(borrowed) / TokensPerRate);
}

RequestId Node::nextRequest()
{
    return RequestId{++m_lastRequest};
}

} // namespace vanillatack
