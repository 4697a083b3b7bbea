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

/// Inner call that a stand-in makes for each request.
struct StandinCall {
    std::string method;
    std::string target;
    bool idempotent = true;
};

/// Settings shared by all instances of a stand-in service.
struct StandinService {
    std::string name;
    int slots = 10; ///< Highest number of running requests; further ones are queued.
    Duration workTime = std::chrono::milliseconds(10); ///< Mean; each request takes 50% to 150% of it.
    std::vector<StandinCall> calls; ///< Made in sequence before the service's own work.
};

struct StandinInstance {
    std::string name;
    std::string service;
    Endpoint listen;
    Endpoint node; ///< Local port of the node on the same VM.
};

/// Addresses of the instances of a service, by the first path segment of its requests.
using DirectTargets = std::map<std::string, std::vector<Endpoint>>;

/// Settings of calls that stand-ins send to each other without nodes, as the baseline of the benchmarks.
struct DirectMode {
    bool enabled = false;
    int retriesPerHop = 3;
    DirectTargets targets;
};

/// Counts executions of operations in all instances of the process.
class OperationLog
{
public:
    /// Records one execution; each further one of an operation at the same service counts as a duplicate.
    void record(const std::string &service, const std::string &operation);

    [[nodiscard]] std::uint64_t duplicates() const;
    [[nodiscard]] std::uint64_t operations() const;

private:
    mutable std::mutex m_mutex;
    std::set<std::string> m_seen;
    std::uint64_t m_duplicates = 0;
};

/// Upstream instance for demos and benchmarks. Occupies one of its slots for the work time of each request, makes the
/// inner calls of its service and announces itself to its node; can be slowed down, drained and queried for counters.
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
    bool acquireSlot(int callerSocket, TimePoint deadline);
    void releaseSlot();
    bool simulateWork(int callerSocket);
    UpstreamAnswer callThroughNode(const StandinCall &call, const HttpRequest &request, TimePoint deadline, int socket);
    UpstreamAnswer callDirectly(const StandinCall &call, const HttpRequest &request, TimePoint deadline, int socket);
    void announcePeriodically();

    const StandinInstance m_instance;
    const StandinService m_service;
    const DirectMode &m_direct;
    OperationLog &m_operations;
    std::unique_ptr<IThreadedHttpServer> m_server;
    std::unique_ptr<IUpstreamClient> m_client;
    std::thread m_announcer;
    std::mutex m_mutex;
    std::condition_variable m_slotFree;
    int m_usedSlots = 0;
    std::string m_state = "ready";
    bool m_stopping = false;
    std::condition_variable m_stateChanged;
    std::atomic<int> m_slowPercent = 100;
    std::atomic<std::uint64_t> m_served = 0;
    std::atomic<std::uint64_t> m_cancelled = 0;
    std::atomic<std::uint64_t> m_keysSeen = 0;
    std::atomic<std::uint64_t> m_nextTarget = 0;
};

} // namespace vanillatack
