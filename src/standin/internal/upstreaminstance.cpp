#include "standin/upstreaminstance.h"

#include "base/text.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace vanillatack {

namespace {

constexpr std::chrono::seconds AnnounceInterval{1};
constexpr std::chrono::seconds DefaultDeadline{5};
constexpr std::chrono::milliseconds ConnectionCheckInterval{20};

TimePoint deadlineOf(const HttpRequest &request)
{
    std::int64_t milliseconds = 0;
    const TimePoint now = std::chrono::steady_clock::now();
    if (absl::SimpleAtoi(request.header("Vanillatack-Deadline-Ms"), &milliseconds)) {
        return now + std::chrono::milliseconds(milliseconds);
    }
    if (absl::SimpleAtoi(request.header("Deadline-Ms"), &milliseconds)) {
        return now + std::chrono::milliseconds(milliseconds);
    }
    return now + DefaultDeadline;
}

std::string firstSegment(const std::string &target)
{
    const std::size_t end = target.find_first_of("/?", 1);
    return target.substr(1, end == std::string::npos ? end : end - 1);
}

HttpResponse plainText(int status, const std::string &body)
{
    return {status, {{"Content-Type", "text/plain"}}, body, false};
}

std::uint64_t threadRandom(std::uint64_t bound)
{
    thread_local SeededRandom random(std::hash<std::thread::id>()(std::this_thread::get_id()));
    return random.below(bound);
}

} // namespace

void OperationLog::record(const std::string &service, const std::string &operation)
{
    const std::lock_guard lock(m_mutex);
    m_duplicates += m_seen.insert(service + " " + operation).second ? 0 : 1;
}

std::uint64_t OperationLog::duplicates() const
{
    const std::lock_guard lock(m_mutex);
    return m_duplicates;
}

std::uint64_t OperationLog::operations() const
{
    const std::lock_guard lock(m_mutex);
    return m_seen.size();
}

UpstreamInstance::UpstreamInstance(const StandinInstance &instance,
                                   const StandinService &service,
                                   const DirectMode &direct,
                                   OperationLog &operations)
    : m_instance(instance)
    , m_service(service)
    , m_direct(direct)
    , m_operations(operations)
    , m_client(makeUpstreamClient({}))
{
    ThreadedHttpServerSettings settings;
    settings.listen = instance.listen;
    m_server = makeThreadedHttpServer(settings, *this);
}

UpstreamInstance::~UpstreamInstance()
{
    stop();
}

Result<void> UpstreamInstance::start()
{
    BOOST_OUTCOME_TRY(m_server->start());
    if (!m_direct.enabled) {
        m_announcer = std::thread([this] {
            announcePeriodically();
        });
    }
    return success();
}

void UpstreamInstance::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_stateChanged.notify_all();
    if (m_announcer.joinable()) {
        m_announcer.join();
    }
    m_server->stop();
}

void UpstreamInstance::announcePeriodically()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const nlohmann::json body = {{"service", m_service.name},
                                     {"address", m_instance.listen.address},
                                     {"port", m_instance.listen.port},
                                     {"slots", m_service.slots},
                                     {"state", m_state}};
        lock.unlock();
        const HttpRequest request{"POST", "/v1/announce", {{"Content-Type", "application/json"}}, body.dump()};
        m_client->send(m_instance.node, request, std::chrono::steady_clock::now() + AnnounceInterval, NoSocket);
        lock.lock();
        if (!m_stopping) {
            m_stateChanged.wait_for(lock, AnnounceInterval);
        }
    }
}

HttpResponse UpstreamInstance::handle(const HttpRequest &request, int callerSocket)
{
    if (absl::StartsWith(request.target, "/control/")) {
        return control(request);
    }
    m_keysSeen += request.header("Authorization").empty() ? 0 : 1;
    return serve(request, callerSocket);
}

HttpResponse UpstreamInstance::makeErrorResponse(int status)
{
    return plainText(status, "cannot read the request\n");
}

HttpResponse UpstreamInstance::control(const HttpRequest &request)
{
    const std::vector<std::string> parts = absl::StrSplit(request.target, '/');
    int percent = 0;
    if (parts.size() == 4 && parts[2] == "slow" && absl::SimpleAtoi(parts[3], &percent) && percent > 0) {
        m_slowPercent = percent;
    } else if (parts.size() == 4 && parts[2] == "state") {
        const std::lock_guard lock(m_mutex);
        m_state = parts[3];
        m_stateChanged.notify_all();
    } else if (request.target != "/control/stats") {
        return plainText(404, "unknown control request\n");
    }
    const nlohmann::json stats = {{"instance", m_instance.name},
                                  {"service", m_service.name},
                                  {"served", m_served.load()},
                                  {"cancelled", m_cancelled.load()},
                                  {"keys_seen", m_keysSeen.load()},
                                  {"operations", m_operations.operations()},
                                  {"duplicate_operations", m_operations.duplicates()}};
    return plainText(200, stats.dump() + "\n");
}

HttpResponse UpstreamInstance::serve(const HttpRequest &request, int connection)
{
    // The baseline is a plain server, which does not notice that its caller has closed the connection.
    const int callerSocket = m_direct.enabled ? NoSocket : connection;
    const TimePoint deadline = deadlineOf(request);
    const std::string operation = request.header("Operation-Id");
    if (!operation.empty()) {
        m_operations.record(m_service.name, operation);
    }
    for (const StandinCall &call : m_service.calls) {
        const UpstreamAnswer answer = m_direct.enabled ? callDirectly(call, request, deadline, callerSocket)
                                                       : callThroughNode(call, request, deadline, callerSocket);
        if (!answer.complete || answer.response.status >= 400) {
            return plainText(502, m_service.name + ": the call to " + call.target + " failed\n");
        }
    }
    if (!acquireSlot(callerSocket, deadline)) {
        ++m_cancelled;
        return plainText(503, m_service.name + ": cancelled or too late\n");
    }
    const bool finished = simulateWork(callerSocket);
    releaseSlot();
    m_served += finished ? 1 : 0;
    m_cancelled += finished ? 0 : 1;
    constexpr std::size_t BodyBytes = 512;
    std::string body = m_service.name + " " + m_instance.name + " " + request.header("Marker") + "\n";
    body.resize(std::max(body.size(), BodyBytes), '.');
    return plainText(200, body);
}

bool UpstreamInstance::acquireSlot(int callerSocket, TimePoint deadline)
{
    std::unique_lock lock(m_mutex);
    while (m_usedSlots >= m_service.slots) {
        m_slotFree.wait_for(lock, ConnectionCheckInterval);
        if (isHungUp(callerSocket) || std::chrono::steady_clock::now() > deadline) {
            return false;
        }
    }
    ++m_usedSlots;
    return true;
}

void UpstreamInstance::releaseSlot()
{
    const std::lock_guard lock(m_mutex);
    --m_usedSlots;
    m_slotFree.notify_one();
}

bool UpstreamInstance::simulateWork(int callerSocket)
{
    const auto mean = std::chrono::duration_cast<std::chrono::microseconds>(m_service.workTime).count();
    const std::int64_t base = mean / 2 + static_cast<std::int64_t>(mean > 0 ? threadRandom(mean) : 0);
    const TimePoint end = std::chrono::steady_clock::now() + std::chrono::microseconds(base * m_slowPercent / 100);
    // Waits until the end of the work, or until the caller closes its connection, which cancels the work.
    return mean == 0 || waitReadable(NoSocket, callerSocket, end) != WaitResult::Cancelled;
}

UpstreamAnswer
UpstreamInstance::callThroughNode(const StandinCall &call, const HttpRequest &request, TimePoint deadline, int socket)
{
    HttpRequest out{call.method, call.target, {}, call.method == "GET" ? Body() : request.body};
    out.headers.emplace_back("Vanillatack-Request", request.header("Vanillatack-Request"));
    if (!call.idempotent) {
        out.headers.emplace_back("Operation-Id", request.header("Operation-Id"));
    }
    return m_client->send(m_instance.node, out, deadline, socket);
}

UpstreamAnswer
UpstreamInstance::callDirectly(const StandinCall &call, const HttpRequest &request, TimePoint deadline, int socket)
{
    const std::vector<Endpoint> &targets = m_direct.targets.at(firstSegment(call.target));
    HttpRequest out{call.method, call.target, {}, call.method == "GET" ? Body() : request.body};
    if (!call.idempotent) {
        out.headers.emplace_back("Operation-Id", request.header("Operation-Id"));
    }
    UpstreamAnswer answer;
    for (int attempt = 0; attempt <= m_direct.retriesPerHop; ++attempt) {
        answer = m_client->send(targets[m_nextTarget++ % targets.size()], out, deadline, socket);
        if ((answer.complete && answer.response.status < 500) || answer.cancelled) {
            break;
        }
    }
    return answer;
}

} // namespace vanillatack
