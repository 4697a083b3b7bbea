#include "daemon/internal/adminservice.h"

#include "base/log.h"
#include "burn/burnsetup.h"
#include "documents/keygrant.h"

#include <algorithm>
#include <map>
#include <thread>

namespace vanillatack {

namespace {

constexpr Log AdminLog("admin");
constexpr std::chrono::seconds OperationTimeout{10};
constexpr std::chrono::seconds ConfirmationTimeout{5};
constexpr std::chrono::milliseconds ConfirmationPollInterval{50};

/// Starts an operation of the node and waits for its completion, which is called under the node's lock. Errors:
/// OutcomeUnknown after OperationTimeout.
template<class Value, class Start>
Result<Value> waitForCompletion(NodeLock &nodeLock, IClock &clock, const Start &start)
{
    // Shared with the completion, which may be called after the timeout.
    struct Pending {
        std::condition_variable wake;
        std::optional<Result<Value>> result;
    };
    const auto pending = std::make_shared<Pending>();
    auto lock = nodeLock.acquire();
    start([pending](Result<Value> result) {
        pending->result = std::move(result);
        pending->wake.notify_one();
    });
    pending->wake.wait_until(lock, clock.now() + OperationTimeout, [&pending] {
        return pending->result.has_value();
    });
    if (!pending->result) {
        return makeError(
            ErrorKind::OutcomeUnknown,
            "The operation did not complete within " + std::to_string(OperationTimeout.count())
                + " s; its outcome is unknown.",
            "Check that the platform is reachable. Before retrying a change, check whether it is in force.");
    }
    return *pending->result;
}

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

double toRequests(std::int64_t tokens)
{
    return static_cast<double>(tokens) / static_cast<double>(TokensPerRequest);
}

std::vector<BurnBucket> bucketsOf(const std::map<BurnKey, BurnCounts> &counts)
{
    std::vector<BurnBucket> buckets;
    for (const auto &[key, count] : counts) {
        BurnBucket bucket;
        bucket.minute = key.minute;
        bucket.route = key.route;
        bucket.workspace = key.workspace;
        bucket.spanMinutes = key.spanMinutes;
        bucket.good = count.good;
        bucket.bad = count.bad;
        bucket.refusals = count.refusals;
        buckets.push_back(bucket);
    }
    return buckets;
}

WorkspaceView viewWorkspace(const WorkspaceConfig &workspace, const QuotaSnapshot &quota)
{
    WorkspaceView view;
    view.workspace = workspace.name;
    view.rate = workspace.ratePerSecond;
    view.burst = workspace.burst;
    view.weight = workspace.weight;
    view.ownedRate = toRequests(quota.ownedRate);
    view.lentRate = toRequests(quota.lentRate);
    view.borrowedRate = toRequests(quota.borrowedRate);
    view.tokens = toRequests(quota.tokens);
    view.admitted = quota.admitted;
    view.refused = quota.refused;
    return view;
}

} // namespace

AdminService::AdminService(IClock &clock, IRandom &random, NodeLock &lock, INode &node, const DaemonSettings &settings)
    : m_clock(clock)
    , m_random(random)
    , m_lock(lock)
    , m_node(node)
    , m_settings(settings)
    , m_startedAt(clock.now())
{
}

Result<ConfigDocument> AdminService::showConfig()
{
    const auto lock = m_lock.acquire();
    const Document &document = m_node.documents().current(DocumentKind::Configuration);
    return ConfigDocument{document.version, document.digest, document.content};
}

Result<std::uint64_t> AdminService::applyDocument(const DocumentChange &change)
{
    return waitForCompletion<std::uint64_t>(m_lock, m_clock, [&](auto done) {
        m_node.documents().apply(change, done);
    });
}

Result<ConfigApplied> AdminService::applyConfig(const ConfigChange &change)
{
    const Result<std::uint64_t> version =
        applyDocument({DocumentKind::Configuration, change.baseVersion, change.text, change.author, change.note});
    if (!version) {
        return version.error();
    }
    AdminLog.info("Configuration applied.", {{"version", std::to_string(version.value())}, {"author", change.author}});
    const auto lock = m_lock.acquire();
    return ConfigApplied{version.value(), m_node.documents().current(DocumentKind::Configuration).digest};
}

Result<ConfigHistory> AdminService::configHistory(int limit)
{
    using Entries = std::vector<DocumentHistoryEntry>;
    const Result<Entries> entries = waitForCompletion<Entries>(m_lock, m_clock, [&](auto done) {
        m_node.documents().history(DocumentKind::Configuration, static_cast<std::size_t>(limit), done);
    });
    if (!entries) {
        return entries.error();
    }
    ConfigHistory history;
    for (const DocumentHistoryEntry &entry : entries.value()) {
        history.entries.push_back({entry.version, entry.digest, entry.author, entry.note, entry.appliedAtMs});
    }
    return history;
}

Result<WorkspaceList> AdminService::listWorkspaces()
{
    const auto lock = m_lock.acquire();
    std::map<WorkspaceName, QuotaSnapshot> quotas;
    for (const QuotaSnapshot &quota : m_node.quota().snapshot()) {
        quotas[quota.workspace] = quota;
    }
    WorkspaceList list;
    list.node = m_settings.name;
    for (const auto &[name, workspace] : m_node.config().workspaces) {
        list.workspaces.push_back(viewWorkspace(workspace, quotas[name]));
    }
    return list;
}

Result<KeyList> AdminService::listKeys()
{
    const auto lock = m_lock.acquire();
    std::map<KeyId, std::int64_t> withdrawn;
    for (const WithdrawnKey &key : m_node.documents().withdrawnKeys()) {
        withdrawn[key.key] = key.withdrawnAtMs;
    }
    KeyList list;
    for (const KeyRecord &record : m_node.keyring().records()) {
        const auto entry = withdrawn.find(record.id);
        const auto at = entry == withdrawn.end() ? std::nullopt : std::optional<std::int64_t>(entry->second);
        list.keys.push_back({record.id, record.workspace, record.note, at});
    }
    return list;
}

Result<KeyGrant> AdminService::grantKey(const KeyGrantRequest &request)
{
    auto lock = m_lock.acquire();
    if (m_node.config().workspaces.count(request.workspace) == 0) {
        return makeError(ErrorKind::NotFound,
                         "There is no workspace " + request.workspace.value + ".",
                         "Add it to the configuration, or choose one of the listed workspaces.");
    }
    const GrantedKey granted = vanillatack::grantKey(m_random, request.workspace, request.note);
    std::vector<KeyRecord> records = m_node.keyring().records();
    records.push_back(granted.record);
    const std::uint64_t base = m_node.documents().current(DocumentKind::Keys).version;
    lock.unlock();
    const std::string note = "grant " + granted.record.id.value + ": " + request.note;
    const Result<std::uint64_t> version =
        applyDocument({DocumentKind::Keys, base, formatKeyDocument(records), request.author, note});
    if (!version) {
        return version.error();
    }
    AdminLog.info(
        "Key granted.",
        {{"key_id", granted.record.id.value}, {"workspace", request.workspace.value}, {"author", request.author}});
    return KeyGrant{granted.record.id, request.workspace, granted.key};
}

Result<KeyWithdrawal> AdminService::withdrawKey(const KeyWithdrawRequest &request)
{
    {
        const auto lock = m_lock.acquire();
        const std::vector<KeyRecord> &records = m_node.keyring().records();
        const bool exists = std::any_of(records.begin(), records.end(), [&request](const KeyRecord &record) {
            return record.id == request.id;
        });
        if (!exists && !m_node.documents().isWithdrawn(request.id)) {
            return makeError(
                ErrorKind::NotFound, "There is no key " + request.id.value + ".", "List the keys to find its id.");
        }
    }
    const Result<void> stored = waitForCompletion<void>(m_lock, m_clock, [&](auto done) {
        m_node.documents().withdraw(request.id, done);
    });
    AdminLog.info("Key withdrawn at this node; waiting until the zones confirm it.",
                  {{"key_id", request.id.value}, {"author", request.author}});
    std::uint64_t count = 0;
    {
        const auto lock = m_lock.acquire();
        count = m_node.documents().versions().withdrawalCount;
    }
    waitForConfirmations(count);
    return KeyWithdrawal{request.id, stored.has_value(), confirmations(count)};
}

std::vector<ZoneConfirmationView> AdminService::confirmations(std::uint64_t withdrawnKeys)
{
    const auto lock = m_lock.acquire();
    std::vector<ZoneConfirmationView> views;
    std::map<ZoneName, ZoneStatus> statuses;
    for (const ZoneStatus &status : m_node.membership().zones()) {
        statuses[status.zone] = status;
    }
    for (const auto &[name, zone] : m_node.config().zones) {
        const auto status = statuses.find(name);
        auto state = ZoneConfirmation::Unreachable;
        if (status != statuses.end() && status->second.reachable) {
            const bool received = status->second.versions.withdrawalCount >= withdrawnKeys;
            state = received ? ZoneConfirmation::Confirmed : ZoneConfirmation::Pending;
        }
        views.push_back({name, state});
    }
    return views;
}

bool AdminService::waitForConfirmations(std::uint64_t withdrawnKeys)
{
    const TimePoint end = m_clock.now() + ConfirmationTimeout;
    while (m_clock.now() < end) {
        const std::vector<ZoneConfirmationView> views = confirmations(withdrawnKeys);
        const bool pending = std::any_of(views.begin(), views.end(), [](const ZoneConfirmationView &view) {
            return view.state == ZoneConfirmation::Pending;
        });
        if (!pending) {
            return true;
        }
        std::this_thread::sleep_for(ConfirmationPollInterval);
    }
    return false;
}

ZoneView AdminService::viewZone(const ZoneStatus &status) const
{
    ZoneView view;
    view.zone = status.zone;
    view.reachable = status.reachable;
    view.lastHeardMs = milliseconds(status.heartbeatAge);
    view.nodes = status.nodes;
    view.configVersion = status.versions.configVersion;
    view.keysVersion = status.versions.keysVersion;
    view.withdrawnKeys = status.versions.withdrawalCount;
    return view;
}

Result<FleetView> AdminService::viewFleet()
{
    const auto lock = m_lock.acquire();
    FleetView fleet;
    fleet.node = m_settings.name;
    std::map<ZoneName, ZoneView> views;
    for (const ZoneStatus &status : m_node.membership().zones()) {
        views[status.zone] = viewZone(status);
    }
    for (const auto &[name, zone] : m_node.config().zones) {
        views[name].zone = name;
        views[name].region = zone.region;
    }
    std::map<ZoneName, std::map<ServiceName, ServiceCounts>> upstreams;
    for (const auto &[service, config] : m_node.config().services) {
        for (const InstanceStatus &instance : m_node.router().instances(service)) {
            const bool draining = instance.member.state == MemberState::Draining;
            ServiceCounts &upstream = upstreams[instance.member.zone][service];
            upstream.service = service;
            upstream.draining += draining ? 1 : 0;
            upstream.healthy += instance.member.state == MemberState::Alive ? 1 : 0;
        }
    }
    for (const Member &member : m_node.membership().members()) {
        if (member.state == MemberState::Draining) {
            views[member.zone].drains.push_back({member.node, member.service});
        }
    }
    for (auto &[name, view] : views) {
        for (const auto &[service, upstream] : upstreams[name]) {
            view.upstreams.push_back(upstream);
        }
        fleet.zones.push_back(view);
    }
    return fleet;
}

Result<RefusalList> AdminService::listRefusals(const RefusalQuery &query)
{
    const auto lock = m_lock.acquire();
    RefusalList list;
    list.node = m_settings.name;
    const std::vector<RefusalRecord> records = m_node.recentRefusals();
    for (auto record = records.rbegin(); record != records.rend(); ++record) {
        const bool wanted = (query.requestId.empty() || query.requestId == record->rootId)
            && (!query.kind || *query.kind == record->kind);
        if (wanted && static_cast<int>(list.refusals.size()) < query.limit) {
            list.refusals.push_back({record->atMs,
                                     record->rootId,
                                     record->kind,
                                     record->runState,
                                     record->route,
                                     record->workspace,
                                     record->service,
                                     record->priority,
                                     record->depth,
                                     record->detail});
        }
    }
    return list;
}

Result<DrainState> AdminService::drain(const DrainRequest &request)
{
    return setDrain(request, true);
}

Result<DrainState> AdminService::undrain(const DrainRequest &request)
{
    return setDrain(request, false);
}

Result<DrainState> AdminService::setDrain(const DrainRequest &request, bool draining)
{
    if (request.node != m_settings.name) {
        return makeError(ErrorKind::NotFound,
                         "This is node " + m_settings.name.value + ", not " + request.node.value + ".",
                         "Send the request to the admin port of that node.");
    }
    AdminLog.info(draining ? "Operator requested a drain." : "Operator requested the end of a drain.",
                  {{"author", request.author}, {"note", request.note}});
    const auto lock = m_lock.acquire();
    m_node.setOperatorDrain(draining);
    const AdmissionSnapshot admission = m_node.upstream().admission;
    return DrainState{request.node, draining, admission.running, admission.queued};
}

Result<BurnFigures> AdminService::burnFigures(const BurnQuery &query)
{
    using Collected = CollectedBurn;
    const Result<Collected> collected = waitForCompletion<Collected>(m_lock, m_clock, [&](auto done) {
        m_node.collectBurn(query.fromMinute, query.toMinute, done);
    });
    if (!collected) {
        return collected.error();
    }
    const auto lock = m_lock.acquire();
    BurnFigures figures;
    const auto wallTime = m_clock.wallNow().time_since_epoch();
    figures.nowMinute = std::chrono::duration_cast<std::chrono::minutes>(wallTime).count();
    figures.objectives = objectivesOf(m_node.config());
    figures.missingZones = collected.value().missingZones;
    // Single minutes for the last hours and hourly sums before, so that the response for 30 days stays small.
    const std::int64_t firstMinute = minuteResolutionStart(figures.nowMinute);
    for (const auto &[source, counts] : collected.value().buckets.sources()) {
        figures.buckets.add(source, sumHours(bucketsOf(counts), firstMinute));
    }
    return figures;
}

Result<NodeStatus> AdminService::nodeStatus()
{
    const auto lock = m_lock.acquire();
    NodeStatus status;
    status.node = m_settings.name;
    status.zone = m_settings.zone;
    status.programVersion = VANILLATACK_VERSION;
    status.uptimeMs = milliseconds(m_clock.now() - m_startedAt);
    status.ready = m_node.isReady(status.notReadyReason);
    const UpstreamStatus upstream = m_node.upstream();
    status.draining = m_node.isDraining();
    status.service = upstream.service;
    status.upstreamState = upstream.state;
    status.slots = upstream.slots;
    status.concurrencyLimit = upstream.admission.limit;
    status.runningRequests = upstream.admission.running;
    status.queuedRequests = upstream.admission.queued;
    const StateVersions versions = m_node.documents().versions();
    status.configVersion = versions.configVersion;
    status.keysVersion = versions.keysVersion;
    status.withdrawnKeys = versions.withdrawalCount;
    status.zoneMembers = static_cast<int>(m_node.membership().members().size());
    for (const ZoneStatus &zone : m_node.membership().zones()) {
        status.reachableZones += zone.reachable ? 1 : 0;
    }
    status.zoneCutOff = m_node.areKeysStale();
    if (const auto silence = m_node.documents().timeSincePlatformAnswer()) {
        status.platformSilenceMs = milliseconds(*silence);
    }
    return status;
}

} // namespace vanillatack
