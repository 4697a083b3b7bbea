#pragma once

#include "base/random.h"
#include "transport/threadedhttpserver.h"
#include "transport/upstreamclient.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace vanillatack {

/// A call that a stand-in makes for each request it serves.
struct StandinCall {
    std::string method;
    std::string target;
    bool idempotent = true;
};

/// What all instances of a stand-in service have in common.
struct StandinService {
    std::string name;
    int slots = 10; ///< Requests worked on at the same time; the others wait.
    Duration workTime = std::chrono::milliseconds(10); ///< Mean; each request takes between half and one and a half.
    std::vector<StandinCall> calls; ///< Made one after the other, before the own work.
};

struct StandinInstance {
    std::string name;
    std::string service;
    Endpoint listen;
    Endpoint node; ///< Local port of the node on the same VM.
};

/// Instances of each service, for stand-ins that call each other without nodes.
using DirectPeers = std::map<std::string, std::vector<Endpoint>>;

/// How calls are made without nodes: the baseline of the benchmarks.
struct DirectMode {
    bool enabled = false;
    int retriesPerHop = 3;
    DirectPeers peers; ///< By the first path segment of a target.
};

/// Counts runs of operations over all instances of the process.
class OperationLog
{
public:
    /// Records one run; an operation that has run before at the same service counts as a duplicate.
    void record(const std::string &service, const std::string &operation);

    [[nodiscard]] std::uint64_t duplicates() const;
    [[nodiscard]] std::uint64_t operations() const;

private:
    mutable std::mutex m_mutex;
    std::set<std::string> m_seen;
    std::uint64_t m_duplicates = 0;
};

/// A back end for demos and benchmarks: works for a while on each request in one of its slots, calls other services,
/// announces itself to its node, and can be slowed down, drained and asked what it saw.
///
/// Control requests: POST /control/slow/PERCENT, POST /control/state/ready|cold|draining, GET /control/stats.
class UpstreamInstance final : public IHttpHandler
{
public:
    UpstreamInstance(const StandinInstance &instance,
                     const StandinService &service,
                     const DirectMode &direct,
                     OperationLog &operations);
    ~UpstreamInstance() override;

    Result<void> start();
    void stop();

    HttpResponse handle(const HttpRequest &request, int callerSocket) override;
    HttpResponse makeErrorResponse(int status) override;

private:
    HttpResponse control(const HttpRequest &request);
    HttpResponse serve(const HttpRequest &request, int connection);
    bool takeSlot(int callerSocket, TimePoint deadline);
    void releaseSlot();
    bool work(int callerSocket);
    UpstreamAnswer callThroughNode(const StandinCall &call, const HttpRequest &request, TimePoint deadline, int socket);
    UpstreamAnswer callDirectly(const StandinCall &call, const HttpRequest &request, TimePoint deadline, int socket);
    void announceRepeatedly();

    const StandinInstance m_instance;
    const StandinService m_service;
    const DirectMode &m_direct;
    OperationLog &m_operations;
    std::unique_ptr<IThreadedHttpServer> m_edge;
    std::unique_ptr<IUpstreamClient> m_client;
    std::thread m_announcer;
    std::mutex m_mutex;
    std::condition_variable m_slotFree;
    int m_busy = 0;
    std::string m_state = "ready";
    bool m_stopping = false;
    std::condition_variable m_stateChanged;
    std::atomic<int> m_slowPercent = 100;
    std::atomic<std::uint64_t> m_served = 0;
    std::atomic<std::uint64_t> m_cancelled = 0;
    std::atomic<std::uint64_t> m_keysSeen = 0;
    std::atomic<std::uint64_t> m_next = 0;
};

} // namespace vanillatack
