#pragma once

#include "documents/documentssetup.h"
#include "documents/simulation/faultyplatform.h"
#include "testing/manualexecutor.h"

#include <map>
#include <memory>
#include <set>

namespace vanillatack {

/// Faults and latencies of the simulated network. May be changed at any time.
struct NetworkFaults {
    double loss = 0; ///< Probability that a message is lost.
    double duplicate = 0; ///< Probability that a message arrives twice.
    Duration inZone = std::chrono::microseconds(300);
    Duration betweenZones = std::chrono::milliseconds(20);
    Duration jitter = std::chrono::milliseconds(2); ///< Maximum random addition to the latency; may reorder messages.
    std::set<int> cutFromZones; ///< Zones that cannot exchange messages with other zones.
    std::set<int> cutFromPlatform; ///< Zones that cannot reach the platform.
};

struct FleetOptions {
    int zones = 3;
    int nodesPerZone = 5;
    std::uint64_t seed = 1;
    DocumentsSettings settings = {};
};

/// Messages of the documents module between nodes. Membership probes and digests are not counted.
struct TrafficCounters {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< Estimate: payload plus 48 bytes per message.
    std::uint64_t pushes = 0;
};

/// Simulated fleet of nodes with their documents, in virtual time. Membership is simulated as well: each node probes a
/// random node of its zone every 500 ms, and four relays per zone exchange versions with a random relay of every other
/// zone once per second. Aborts if a version decreases within an incarnation of a node, or if a version appears with
/// two different contents.
class SimulatedFleet
{
public:
    explicit SimulatedFleet(const FleetOptions &options);
    ~SimulatedFleet();

    SimulatedFleet(const SimulatedFleet &) = delete;
    SimulatedFleet &operator=(const SimulatedFleet &) = delete;

    void run(Duration duration);

    /// Destroys the node with all its state.
    void stop(int node);
    /// Starts a new incarnation of a stopped node.
    void start(int node);
    void restart(int node);

    [[nodiscard]] int size() const;
    [[nodiscard]] int zoneOf(int node) const;
    [[nodiscard]] bool isRunning(int node) const;
    IDocuments &documents(int node);

    /// Number of running nodes for which the condition does not hold.
    [[nodiscard]] int countWhereNot(const std::function<bool(int node)> &condition) const;

    /// Applies the change at a node. The returned optional is set on completion.
    std::shared_ptr<std::optional<Result<std::uint64_t>>> apply(int node, DocumentChange change);

    /// Applies the first version of both documents at node 0 and runs until all nodes are ready.
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
    [[nodiscard]] bool isLinked(int from, int to) const;
    [[nodiscard]] bool isRelay(int node) const;
    [[nodiscard]] std::vector<int> relaysOf(int zone) const;
    [[nodiscard]] std::vector<int> runningIn(int zone) const;
    Duration latency(int from, int to);
    void checkContent(DocumentKind kind, const Document &document);

    FleetOptions m_options;
    SeededRandom m_random;
    std::vector<std::unique_ptr<Node>> m_nodes; ///< Null while stopped.
    std::vector<std::uint64_t> m_incarnations;
    std::map<std::pair<DocumentKind, std::uint64_t>, std::string>
        m_digests; ///< Digest of every version that was in force at any node.
};

} // namespace vanillatack
