#include "documents/simulation/simulatedfleet.h"

#include "base/invariant.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace vanillatack {

namespace {

constexpr std::chrono::milliseconds TickInterval{50};
constexpr std::chrono::milliseconds ProbeInterval{500};
constexpr std::chrono::seconds DigestInterval{1};
constexpr int RelaysPerZone = 4;
constexpr std::size_t MessageOverheadBytes = 48;
constexpr std::uint16_t NodePort = 7000;

Endpoint endpointOf(int node)
{
    return {.address = std::to_string(node), .port = NodePort};
}

int nodeAt(const Endpoint &endpoint)
{
    int node = 0;
    std::from_chars(endpoint.address.data(), endpoint.address.data() + endpoint.address.size(), node);
    return node;
}

std::size_t sizeOf(const ControlMessage &message)
{
    if (const auto *push = std::get_if<DocumentPush>(&message)) {
        return MessageOverheadBytes + push->digest.size() + push->content.size();
    }
    std::size_t bytes = MessageOverheadBytes;
    if (const auto *sync = std::get_if<WithdrawalSync>(&message)) {
        for (const WithdrawnKey &withdrawn : sync->keys) {
            bytes += withdrawn.key.value.size() + sizeof(withdrawn.withdrawnAtMs);
        }
    }
    return bytes;
}

} // namespace

/// One incarnation of a node.
class SimulatedFleet::Node final : public IMessageSender, public IDocumentPeers, public IDocumentsListener
{
public:
    Node(SimulatedFleet &fleet, int index, std::uint64_t incarnation)
        : m_fleet(fleet)
        , m_index(index)
        , m_random(fleet.m_options.seed * 1'000'003 + static_cast<std::uint64_t>(index) * 1009 + incarnation)
        , m_platform(fleet.platform,
                     [&fleet, zone = fleet.zoneOf(index)] {
                         return !fleet.network.cutFromPlatform.contains(zone);
                     })
        , documents(makeDocuments(fleet.clock,
                                  m_random,
                                  m_platform,
                                  m_platform,
                                  *this,
                                  *this,
                                  *this,
                                  NodeName("node-" + std::to_string(index)),
                                  fleet.m_options.settings))
    {
    }

    void send(const Endpoint &to, const ControlMessage &message) override
    {
        m_fleet.send(m_index, to, message);
    }

    std::vector<Endpoint> spreadTargets(std::size_t count) override
    {
        std::vector<int> candidates = m_fleet.runningIn(m_fleet.zoneOf(m_index));
        std::erase(candidates, m_index);
        for (int zone = 0; zone < m_fleet.m_options.zones; ++zone) {
            if (zone != m_fleet.zoneOf(m_index)) {
                const std::vector<int> relays = m_fleet.relaysOf(zone);
                candidates.insert(candidates.end(), relays.begin(), relays.end());
            }
        }
        std::vector<Endpoint> targets;
        while (targets.size() < count && !candidates.empty()) {
            const std::size_t chosen = m_random.below(candidates.size());
            targets.push_back(endpointOf(candidates[chosen]));
            candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(chosen));
        }
        return targets;
    }

    [[nodiscard]] bool isAmongFirstRelays(std::size_t count) const override
    {
        std::size_t lower = 0;
        for (int node = m_fleet.zoneOf(m_index) * m_fleet.m_options.nodesPerZone; node < m_index && lower < count;
             ++node) {
            lower += m_fleet.isRunning(node) ? 1 : 0;
        }
        return lower < count;
    }

    void onDocument(DocumentKind kind, const Document &document) override
    {
        std::uint64_t &last = m_lastVersions[kind];
        VT_INVARIANT(document.version > last, "The version of a document decreased.");
        last = document.version;
        m_fleet.checkContent(kind, document);
    }

    void onWithdrawals(const std::vector<WithdrawnKey> &added) override
    {
        VT_INVARIANT(!added.empty(), "The listener was notified of an empty list of withdrawn keys.");
    }

private:
    SimulatedFleet &m_fleet;
    int m_index;
    SeededRandom m_random;
    FaultyPlatformClient m_platform;
    std::map<DocumentKind, std::uint64_t> m_lastVersions;

public:
    std::unique_ptr<IDocuments> documents;
};

SimulatedFleet::SimulatedFleet(const FleetOptions &options)
    : platform(executor, options.seed + 1)
    , m_options(options)
    , m_random(options.seed)
{
    const auto count = static_cast<std::size_t>(options.zones) * static_cast<std::size_t>(options.nodesPerZone);
    m_nodes.resize(count);
    m_incarnations.resize(count);
    for (int node = 0; node < size(); ++node) {
        start(node);
    }
}

SimulatedFleet::~SimulatedFleet() = default;

void SimulatedFleet::run(Duration duration)
{
    executor.runFor(duration);
}

void SimulatedFleet::stop(int node)
{
    m_nodes[static_cast<std::size_t>(node)].reset();
}

void SimulatedFleet::start(int node)
{
    const auto index = static_cast<std::size_t>(node);
    const std::uint64_t incarnation = ++m_incarnations[index];
    m_nodes[index] = std::make_unique<Node>(*this, node, incarnation);
    // Runs the action at the interval until the incarnation ends, with a random initial delay.
    const auto repeat = [this, index, incarnation](Duration interval, const std::function<void()> &action) {
        auto task = std::make_shared<std::function<void()>>();
        *task = [this, index, incarnation, interval, action, weak = std::weak_ptr(task)] {
            if (m_nodes[index] && m_incarnations[index] == incarnation) {
                action();
                executor.postAfter(interval, [self = weak.lock()] {
                    (*self)();
                });
            }
        };
        const auto phase = static_cast<Duration::rep>(m_random.fraction() * static_cast<double>(interval.count()));
        executor.postAfter(Duration(phase), [task] {
            (*task)();
        });
    };
    repeat(TickInterval, [this, node] {
        documents(node).tick();
    });
    repeat(ProbeInterval, [this, node] {
        probe(node);
    });
    repeat(DigestInterval, [this, node] {
        exchangeDigests(node);
    });
}

void SimulatedFleet::restart(int node)
{
    stop(node);
    start(node);
}

int SimulatedFleet::size() const
{
    return static_cast<int>(m_nodes.size());
}

int SimulatedFleet::zoneOf(int node) const
{
    return node / m_options.nodesPerZone;
}

bool SimulatedFleet::isRunning(int node) const
{
    return m_nodes[static_cast<std::size_t>(node)] != nullptr;
}

IDocuments &SimulatedFleet::documents(int node)
{
    return *m_nodes[static_cast<std::size_t>(node)]->documents;
}

int SimulatedFleet::countWhereNot(const std::function<bool(int node)> &condition) const
{
    int count = 0;
    for (int node = 0; node < size(); ++node) {
        count += isRunning(node) && !condition(node) ? 1 : 0;
    }
    return count;
}

std::shared_ptr<std::optional<Result<std::uint64_t>>> SimulatedFleet::apply(int node, DocumentChange change)
{
    auto outcome = std::make_shared<std::optional<Result<std::uint64_t>>>();
    documents(node).apply(change, [outcome](const Result<std::uint64_t> &result) {
        *outcome = result;
    });
    return outcome;
}

void SimulatedFleet::bootstrap()
{
    const auto config = apply(0, {.content = "first", .author = "test", .note = "start"});
    const auto keys =
        apply(0, {.kind = DocumentKind::Keys, .content = formatKeyDocument({}), .author = "test", .note = "start"});
    while (countWhereNot([this](int node) {
        return documents(node).isReady();
    })) {
        run(TickInterval);
    }
    VT_INVARIANT(config->value().value() == 1 && keys->value().value() == 1, "The first documents were not applied.");
}

void SimulatedFleet::send(int from, const Endpoint &to, const ControlMessage &message)
{
    const int target = nodeAt(to);
    ++traffic.messages;
    traffic.bytes += sizeOf(message);
    traffic.pushes += std::holds_alternative<DocumentPush>(message) ? 1 : 0;
    if (!isLinked(from, target) || m_random.fraction() < network.loss) {
        return;
    }
    const int copies = m_random.fraction() < network.duplicate ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        executor.postAfter(latency(from, target), [this, from, target, message] {
            deliver(from, target, message);
        });
    }
}

void SimulatedFleet::deliver(int from, int to, const ControlMessage &message)
{
    if (!isRunning(to) || !isLinked(from, to)) {
        return;
    }
    if (const auto *fetch = std::get_if<DocumentFetch>(&message)) {
        documents(to).receive(endpointOf(from), *fetch);
    } else if (const auto *push = std::get_if<DocumentPush>(&message)) {
        documents(to).receive(endpointOf(from), *push);
    } else if (const auto *sync = std::get_if<WithdrawalSync>(&message)) {
        documents(to).receive(endpointOf(from), *sync);
    }
}

void SimulatedFleet::probe(int node)
{
    std::vector<int> others = runningIn(zoneOf(node));
    std::erase(others, node);
    if (!others.empty()) {
        const int peer = others[m_random.below(others.size())];
        compareVersions(node, peer);
        compareVersions(peer, node);
    }
}

void SimulatedFleet::exchangeDigests(int node)
{
    if (!isRelay(node)) {
        return;
    }
    for (int zone = 0; zone < m_options.zones; ++zone) {
        const std::vector<int> relays = relaysOf(zone);
        if (zone != zoneOf(node) && !relays.empty()) {
            const int peer = relays[m_random.below(relays.size())];
            compareVersions(node, peer);
            compareVersions(peer, node);
        }
    }
}

/// Delivers the versions of one node to another, which compares them with its own.
void SimulatedFleet::compareVersions(int from, int to)
{
    if (!isLinked(from, to) || m_random.fraction() < network.loss) {
        return;
    }
    executor.postAfter(latency(from, to), [this, from, to, versions = documents(from).versions()] {
        if (isRunning(to) && versions != documents(to).versions()) {
            documents(to).onPeerVersions(endpointOf(from), versions);
        }
    });
}

bool SimulatedFleet::isLinked(int from, int to) const
{
    return zoneOf(from) == zoneOf(to)
        || (!network.cutFromZones.contains(zoneOf(from)) && !network.cutFromZones.contains(zoneOf(to)));
}

bool SimulatedFleet::isRelay(int node) const
{
    const std::vector<int> relays = relaysOf(zoneOf(node));
    return std::find(relays.begin(), relays.end(), node) != relays.end();
}

std::vector<int> SimulatedFleet::relaysOf(int zone) const
{
    std::vector<int> nodes = runningIn(zone);
    nodes.resize(std::min<std::size_t>(nodes.size(), RelaysPerZone));
    return nodes;
}

std::vector<int> SimulatedFleet::runningIn(int zone) const
{
    std::vector<int> nodes;
    for (int node = zone * m_options.nodesPerZone; node < (zone + 1) * m_options.nodesPerZone; ++node) {
        if (isRunning(node)) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

Duration SimulatedFleet::latency(int from, int to)
{
    const Duration base = zoneOf(from) == zoneOf(to) ? network.inZone : network.betweenZones;
    const auto jitter = static_cast<double>(network.jitter.count());
    return base + Duration(static_cast<Duration::rep>(m_random.fraction() * jitter));
}

void SimulatedFleet::checkContent(DocumentKind kind, const Document &document)
{
    const auto [known, isNew] = m_digests.try_emplace({kind, document.version}, document.digest);
    VT_INVARIANT(isNew || known->second == document.digest, "Two different contents of one version are in force.");
}

} // namespace vanillatack
