#pragma once

#include "documents/documentssetup.h"
#include "documents/simulation/faultyplatform.h"
#include "testing/manualexecutor.h"

#include <map>
#include <memory>
#include <set>

namespace vanillatack {

/// Faults of the simulated network. May be changed at any time.
struct NetworkFaults {
    double loss = 0; ///< Probability that a message is lost.
    double duplicate = 0; ///< Probability that a message arrives twice.
    Duration inZone = std::chrono::microseconds(300);
    Duration betweenZones = std::chrono::milliseconds(20);
    Duration jitter = std::chrono::milliseconds(2); ///< Random addition, which also changes the order.
    std::set<int> cutFromZones; ///< Zones without contact to other zones.
    std::set<int> cutFromPlatform;
};

struct FleetOptions {
    int zones = 3;
    int nodesPerZone = 5;
    std::uint64_t seed = 1;
    DocumentsSettings settings = {};
};

/// Traffic of the documents between nodes. Probes and digests belong to membership and are not counted.
struct TrafficCounters {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< Estimate: texts plus 48 bytes per message.
    std::uint64_t pushes = 0;
};

/// Many nodes with their documents in virtual time, with a stand-in for membership: each node probes a random node of
/// its zone every 500 ms, and four relays per zone exchange versions with a random relay of every other zone once a
/// second. Aborts when a version goes down at an incarnation of a node or when two contents of one version are seen.
class SimulatedFleet
{
public:
    explicit SimulatedFleet(const FleetOptions &options);
    ~SimulatedFleet();

    SimulatedFleet(const SimulatedFleet &) = delete;
    SimulatedFleet &operator=(const SimulatedFleet &) = delete;

    void run(Duration duration);

    /// Ends the node; nothing of it remains.
    void stop(int node);
    /// Starts a new incarnation of a stopped node.
    void start(int node);
    void restart(int node);

    [[nodiscard]] int size() const;
    [[nodiscard]] int zoneOf(int node) const;
    [[nodiscard]] bool isRunning(int node) const;
    IDocuments &documents(int node);

    /// Nodes that run and for which the condition does not hold.
    [[nodiscard]] int countWhereNot(const std::function<bool(int node)> &condition) const;

    /// Applies through a node and stores the outcome when it comes.
    std::shared_ptr<std::optional<Result<std::uint64_t>>> apply(int node, DocumentChange change);

    /// Applies a first version of both documents through node 0 and runs until all nodes are ready.
    void bootstrap();

    ManualClock clock;
    ManualExecutor executor{clock};
    SimulatedPlatform platform;
    NetworkFaults network;
    TrafficCounters traffic;

private:
    class Node;

    void send(int from, const Endpoint &to, const ControlMessage &message);
    void deliver(int from, int to, const ControlMessage &message);
    void probe(int node);
    void exchangeDigests(int node);
    void compareVersions(int from, int to);
    [[nodiscard]] bool linked(int from, int to) const;
    [[nodiscard]] bool isRelay(int node) const;
    [[nodiscard]] std::vector<int> relaysOf(int zone) const;
    [[nodiscard]] std::vector<int> runningIn(int zone) const;
    Duration latency(int from, int to);
    void checkContent(DocumentKind kind, const DocumentVersion &document);

    FleetOptions m_options;
    SeededRandom m_random;
    std::vector<std::unique_ptr<Node>> m_nodes; ///< Null while stopped.
    std::vector<std::uint64_t> m_incarnations;
    std::map<std::pair<DocumentKind, std::uint64_t>, std::string> m_digests; ///< Of every version ever in force.
};

} // namespace vanillatack
