#include "quota/tests/fakefleet.h"

#include "base/invariant.h"

#include <cmath>
#include <numeric>
#include <utility>

namespace vanillatack {

using namespace std::chrono_literals;

namespace {

constexpr Duration TickInterval = 50ms;
constexpr Duration MaxPause = 5s;
constexpr Duration MembershipDelay = 3s; // Until other nodes remove a stopped owner.

std::size_t itemBytes(const LoanItem &item)
{
    return 56 + (item.workspace.value.size() + 8) / 8 * 8;
}

// Estimated size: IP and UDP headers, message type and truncated HMAC, and the unpacked Cap'n Proto message with names.
std::size_t messageBytes(const ControlMessage &message)
{
    std::size_t bytes = 28 + 24 + 120;
    if (const auto *request = std::get_if<BorrowRequest>(&message)) {
        for (const LoanItem &item : request->more) {
            bytes += itemBytes(item);
        }
    } else if (const auto *grant = std::get_if<BorrowGrant>(&message)) {
        for (const LoanItem &item : grant->more) {
            bytes += itemBytes(item);
        }
    }
    return bytes;
}

} // namespace

DriftingClock::DriftingClock(const ManualClock &clock, int driftPpm, Duration offset)
    : m_clock(clock)
    , m_start(clock.now())
    , m_driftPpm(driftPpm)
    , m_offset(offset)
{
}

TimePoint DriftingClock::now() const
{
    const Duration passed = m_clock.now() - m_start;
    return m_start + m_offset + passed + passed / 1'000'000 * m_driftPpm;
}

WallTime DriftingClock::wallNow() const
{
    return m_clock.wallNow();
}

void CentralBucket::set(TimePoint now, std::int64_t rate, std::int64_t burst, bool fill)
{
    m_level = std::min(m_level + WideInteger{m_rate} * (now - m_at).count(), WideInteger{m_burst} * 1'000'000'000);
    m_at = now;
    m_rate = rate;
    m_burst = burst;
    const WideInteger full = WideInteger{burst} * 1'000'000'000;
    m_level = fill ? full : std::min(m_level, full);
}

bool CentralBucket::tryTake(TimePoint now)
{
    set(now, m_rate, m_burst, false);
    const WideInteger whole = WideInteger{TokensPerRequest} * 1'000'000'000;
    if (m_level < whole) {
        return false;
    }
    m_level -= whole;
    return true;
}

void CentralBucket::take(TimePoint now)
{
    VT_INVARIANT(tryTake(now), "The fleet admitted more than rate x time + burst.");
}

struct FakeFleet::WorkspaceSimulation {
    CentralBucket quotaBound; ///< Takes a token per admitted request; aborts when the fleet exceeds the quota.
    CentralBucket central; ///< Takes a token per arrival while it has one; reference for the refusals.
    FleetStatistics statistics;
    /// Per node: rate, and a counter that invalidates arrivals scheduled at an earlier rate.
    std::map<int, std::pair<double, std::uint64_t>> demand;
};

struct FakeFleet::Node final : IMessageSender, IQuotaListener {
    FakeFleet *fleet = nullptr;
    int index = 0;
    Member member;
    std::unique_ptr<DriftingClock> clock;
    std::unique_ptr<SeededRandom> random;
    std::unique_ptr<IQuota> quota;
    std::uint64_t incarnation = 0;
    TimePoint pausedUntil;
    TimePoint stoppedAt = TimePoint::max();
    std::deque<Caller> callers;
    std::uint64_t bytes = 0;
    TimePoint ownersSetAt;

    void send(const Endpoint &to, const ControlMessage &message) override
    {
        fleet->deliver(index, to, message);
    }

    void onTokensAvailable(const WorkspaceName &workspace) override
    {
        fleet->schedule(fleet->now(), [=, this] {
            fleet->retryWaiting(*this, workspace);
        });
    }
};

FakeFleet::FakeFleet(const Options &options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
    , m_cut(static_cast<std::size_t>(options.zones))
{
    for (int zone = 0; zone < options.zones; ++zone) {
        for (int index = 0; index < options.nodesPerZone; ++index) {
            auto node = std::make_unique<Node>();
            node->fleet = this;
            node->index = static_cast<int>(m_nodes.size());
            node->member.node = NodeName("n" + std::to_string(node->index));
            node->member.zone = ZoneName("z" + std::to_string(zone));
            node->member.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(node->index)};
            node->member.shareSlot = index < options.sharesPerZone ? index : -1;
            m_nodes.push_back(std::move(node));
        }
    }
    for (int node = 0; node < nodeCount(); ++node) {
        start(node);
    }
}

FakeFleet::~FakeFleet() = default;

TimePoint FakeFleet::now() const
{
    return m_clock.now();
}

int FakeFleet::nodeCount() const
{
    return static_cast<int>(m_nodes.size());
}

int FakeFleet::zoneOf(int node) const
{
    return node / m_options.nodesPerZone;
}

IRandom &FakeFleet::random()
{
    return m_random;
}

IQuota &FakeFleet::quota(int node)
{
    return *m_nodes[static_cast<std::size_t>(node)]->quota;
}

void FakeFleet::schedule(TimePoint time, std::function<void()> action)
{
    m_events.emplace(time, m_nextEvent);
    m_actions.emplace(m_nextEvent++, std::move(action));
}

void FakeFleet::run(Duration duration)
{
    const TimePoint end = now() + duration;
    while (!m_events.empty() && m_events.top().first <= end) {
        const auto [time, id] = m_events.top();
        m_events.pop();
        m_clock.advance(std::max(Duration::zero(), time - now()));
        const std::function<void()> action = std::move(m_actions.extract(id).mapped());
        action();
    }
    m_clock.advance(end - now());
}

std::vector<Member> FakeFleet::ownersFor(int node) const
{
    std::vector<Member> own;
    std::vector<Member> others;
    for (const auto &candidate : m_nodes) {
        const bool sameZone = zoneOf(candidate->index) == zoneOf(node);
        const bool gone = now() - MembershipDelay > candidate->stoppedAt;
        if (candidate->member.shareSlot >= 0 && !gone) {
            (sameZone ? own : others).push_back(candidate->member);
        }
    }
    own.insert(own.end(), others.begin(), others.end());
    return own;
}

void FakeFleet::start(int index)
{
    Node &node = *m_nodes[static_cast<std::size_t>(index)];
    const int drift = m_options.drift ? static_cast<int>(m_random.below(3)) * 1000 - 1000 : 0;
    node.incarnation = std::max(node.incarnation + 1, static_cast<std::uint64_t>(now().time_since_epoch() / 1ms));
    node.stoppedAt = TimePoint::max();
    node.pausedUntil = {};
    node.ownersSetAt = {};
    node.quota.reset();
    node.clock = std::make_unique<DriftingClock>(m_clock, drift, Duration(std::chrono::seconds(m_random.below(100))));
    node.random = std::make_unique<SeededRandom>(m_random.next());
    node.quota = makeQuota(*node.clock,
                           *node.random,
                           node,
                           node,
                           node.member.node,
                           node.member.endpoint,
                           node.incarnation,
                           m_options.settings);
    applyConfiguration(index, Duration::zero());
    tick(index, node.incarnation);
}

void FakeFleet::tick(int index, std::uint64_t incarnation)
{
    Node &node = *m_nodes[static_cast<std::size_t>(index)];
    if (node.incarnation != incarnation || node.stoppedAt <= now()) {
        return;
    }
    if (node.pausedUntil <= now()) {
        if (now() - node.ownersSetAt > 1s) {
            node.ownersSetAt = now();
            node.quota->setShareOwners(ownersFor(index));
        }
        node.quota->tick();
        expireCallers(node);
    }
    schedule(now() + TickInterval - Duration(static_cast<std::int64_t>(m_random.below(5'000'000))), [=, this] {
        tick(index, incarnation);
    });
}

void FakeFleet::applyConfiguration(int index, Duration spread)
{
    Node &node = *m_nodes[static_cast<std::size_t>(index)];
    const TimePoint earliest = std::max(now(), node.pausedUntil);
    const auto appliedAt = earliest + Duration(static_cast<std::int64_t>(m_random.below(spread.count() + 1)));
    const auto action = [=, this, &node] {
        if (node.pausedUntil > now()) {
            applyConfiguration(index, spread);
            return;
        }
        ShareFraction share;
        if (node.member.shareSlot >= 0 && !m_zoneWeights.empty()) {
            share.numerator = m_zoneWeights[static_cast<std::size_t>(zoneOf(index))];
            share.denominator =
                std::int64_t{m_options.sharesPerZone} * std::accumulate(m_zoneWeights.begin(), m_zoneWeights.end(), 0);
        }
        node.quota->configure(m_quotas, share);
    };
    if (appliedAt <= now()) {
        action();
    } else {
        schedule(appliedAt, action);
    }
}

void FakeFleet::configure(const std::map<WorkspaceName, WorkspaceQuota> &quotas,
                          const std::vector<int> &zoneWeights,
                          Duration spread)
{
    for (const auto &[name, quota] : quotas) {
        const WorkspaceQuota old = m_quotas[name];
        setReference(name, {std::max(old.rate, quota.rate), std::max(old.burst, quota.burst)}, old.rate == 0);
        if (spread > Duration::zero()) {
            schedule(now() + MaxPause + spread + m_options.settings.maxLoanTerm * 11 / 10,
                     [this, workspace = name, lower = quota] {
                         setReference(workspace, lower, false);
                     });
        }
    }
    m_quotas = quotas;
    m_zoneWeights = zoneWeights;
    for (int node = 0; node < nodeCount(); ++node) {
        applyConfiguration(node, spread);
    }
}

void FakeFleet::setReference(const WorkspaceName &workspace, const WorkspaceQuota &quota, bool fill)
{
    auto &simulation = m_simulations[workspace];
    if (!simulation) {
        simulation = std::make_unique<WorkspaceSimulation>();
    }
    simulation->quotaBound.set(now(), quota.rate, quota.burst, fill);
    simulation->central.set(now(), quota.rate, quota.burst, fill);
}

void FakeFleet::setDemand(const WorkspaceName &workspace, int zone, double ratePerNode)
{
    for (int node = 0; node < nodeCount(); ++node) {
        if (zone < 0 || zoneOf(node) == zone) {
            setNodeDemand(workspace, node, ratePerNode);
        }
    }
}

void FakeFleet::setNodeDemand(const WorkspaceName &workspace, int node, double perSecond)
{
    auto &[demand, epoch] = m_simulations.at(workspace)->demand[node];
    demand = perSecond;
    const std::uint64_t current = ++epoch;
    if (demand > 0) {
        schedule(now() + Duration(static_cast<std::int64_t>(m_random.fraction() * 1e9 / demand)), [=, this] {
            handleArrival(node, workspace, current);
        });
    }
}

void FakeFleet::handleArrival(int index, const WorkspaceName &workspace, std::uint64_t epoch)
{
    WorkspaceSimulation &simulation = *m_simulations.at(workspace);
    const auto &[demand, current] = simulation.demand[index];
    if (current != epoch) {
        return;
    }
    const double gapSeconds = -std::log(1 - m_random.fraction()) / demand;
    schedule(now() + Duration(static_cast<std::int64_t>(gapSeconds * 1e9)), [=, this] {
        handleArrival(index, workspace, epoch);
    });
    Node &node = *m_nodes[static_cast<std::size_t>(index)];
    if (node.stoppedAt <= now()) {
        return; // Callers use other nodes; not counted.
    }
    ++simulation.statistics.arrivals;
    const bool centralAdmits = simulation.central.tryTake(now());
    simulation.statistics.admittedByCentral += centralAdmits ? 1 : 0;
    Caller caller{workspace, now() + m_options.callerWait, centralAdmits};
    if (node.pausedUntil > now() || !tryAcquire(node, caller)) {
        node.callers.push_back(caller);
        schedule(caller.until, [&, this] {
            expireCallers(node);
        });
    }
}

/// True when the request was admitted or finally refused.
bool FakeFleet::tryAcquire(Node &node, const Caller &caller)
{
    WorkspaceSimulation &simulation = *m_simulations.at(caller.workspace);
    const QuotaDecision decision = node.quota->tryAcquire(caller.workspace);
    if (decision.admitted) {
        simulation.quotaBound.take(now());
        ++simulation.statistics.admitted;
        return true;
    }
    if (decision.tokensExpected) {
        return false;
    }
    simulation.statistics.refusedWithinRate += caller.centralAdmits ? 1 : 0;
    return true;
}

void FakeFleet::retryWaiting(Node &node, const WorkspaceName &workspace)
{
    if (node.pausedUntil > now()) {
        return;
    }
    std::deque<Caller> left;
    for (const Caller &caller : std::exchange(node.callers, {})) {
        if (caller.workspace != workspace || !tryAcquire(node, caller)) {
            left.push_back(caller);
        }
    }
    node.callers = std::move(left);
}

void FakeFleet::expireCallers(Node &node)
{
    if (node.pausedUntil > now()) {
        return; // These callers retry once when the pause ends.
    }
    std::erase_if(node.callers, [&](const Caller &caller) {
        const bool gone = caller.until <= now();
        m_simulations.at(caller.workspace)->statistics.refusedWithinRate += gone && caller.centralAdmits ? 1 : 0;
        return gone;
    });
}

void FakeFleet::deliver(int from, const Endpoint &to, const ControlMessage &message)
{
    m_nodes[static_cast<std::size_t>(from)]->bytes += messageBytes(message);
    m_nodes[to.port]->bytes += messageBytes(message);
    ++m_messages;
    m_bytes += messageBytes(message);
    const auto crossesCut = [=, this] {
        const auto sender = static_cast<std::size_t>(zoneOf(from));
        const auto receiver = static_cast<std::size_t>(zoneOf(to.port));
        return sender != receiver && (m_cut[sender] || m_cut[receiver]);
    };
    int copies = m_random.below(1000) < static_cast<std::uint64_t>(m_options.lossPermille) ? 0 : 1;
    copies += m_random.below(1000) < static_cast<std::uint64_t>(m_options.duplicatePermille) ? 1 : 0;
    for (; copies > 0; --copies) {
        // With message loss, 1% of the messages are 1.25 to 6.25 s late.
        const bool late = m_options.lossPermille > 0 && m_random.below(100) == 0;
        const auto longest = static_cast<std::uint64_t>((late ? Duration(5s) : m_options.longestDelay).count());
        const auto delay = Duration(static_cast<std::int64_t>(longest / 4 + m_random.below(longest)));
        auto arrival = std::make_shared<std::function<void()>>();
        *arrival = [=, this] {
            Node &node = *m_nodes[to.port];
            if (node.stoppedAt <= now() || crossesCut()) {
                return;
            }
            if (node.pausedUntil > now()) {
                schedule(node.pausedUntil, *arrival);
                return;
            }
            const Endpoint sender = m_nodes[static_cast<std::size_t>(from)]->member.endpoint;
            if (const auto *request = std::get_if<BorrowRequest>(&message)) {
                node.quota->receive(sender, *request);
            } else if (const auto *grant = std::get_if<BorrowGrant>(&message)) {
                node.quota->receive(sender, *grant);
            } else if (const auto *loanReturn = std::get_if<LoanReturn>(&message)) {
                node.quota->receive(sender, *loanReturn);
            }
        };
        schedule(now() + delay, *arrival);
    }
}

void FakeFleet::pause(int node, Duration duration)
{
    Node &paused = *m_nodes[static_cast<std::size_t>(node)];
    paused.pausedUntil = now() + duration;
    schedule(paused.pausedUntil, [&, this] {
        for (const auto &[workspace, simulation] : m_simulations) {
            retryWaiting(paused, workspace);
        }
        expireCallers(paused);
    });
}

void FakeFleet::stop(int node)
{
    m_nodes[static_cast<std::size_t>(node)]->stoppedAt = now();
    m_nodes[static_cast<std::size_t>(node)]->callers.clear();
}

void FakeFleet::restart(int node)
{
    start(node);
}

void FakeFleet::cutOff(int zone, bool cut)
{
    m_cut[static_cast<std::size_t>(zone)] = cut;
}

std::uint64_t FakeFleet::busiestNodeBytes() const
{
    std::uint64_t result = 0;
    for (const auto &node : m_nodes) {
        result = std::max(result, node->bytes);
    }
    return result;
}

std::uint64_t FakeFleet::meanBytesWithoutShare() const
{
    std::uint64_t sum = 0;
    std::uint64_t count = 0;
    for (const auto &node : m_nodes) {
        sum += node->member.shareSlot < 0 ? node->bytes : 0;
        count += node->member.shareSlot < 0 ? 1 : 0;
    }
    return count == 0 ? 0 : sum / count;
}

FleetStatistics FakeFleet::takeStatistics(const WorkspaceName &workspace)
{
    WorkspaceSimulation &simulation = *m_simulations.at(workspace);
    FleetStatistics result = simulation.statistics;
    result.messages = m_messages;
    result.bytes = m_bytes;
    simulation.statistics = {};
    m_messages = 0;
    m_bytes = 0;
    for (const auto &node : m_nodes) {
        node->bytes = 0;
    }
    return result;
}

} // namespace vanillatack
