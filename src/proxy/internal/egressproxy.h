#pragma once

#include "attempts/iretrybudget.h"
#include "fleet/nodedirectory.h"
#include "fleet/storefreshness.h"
#include "metrics/imetrics.h"
#include "net/httpserver.h"
#include "net/peerlink.h"
#include "proxy/decisionlog.h"
#include "proxy/internal/ingressproxy.h"
#include "proxy/proxysettings.h"
#include "rootadmission/loadshedder.h"
#include "rootadmission/workspaceratelimiter.h"
#include "routes/routetable.h"

#include <optional>
#include <set>

namespace vanillatack {

/// Objects shared by the components of a node. They must outlive the components.
struct NodeDependencies {
    EventLoop &loop;
    const IClock &clock;
    IRandom &random;
    const ProxySettings &settings;
    DecisionLog &decisions;
    IMetrics &metrics;
    NodeDirectory &directory;
    WorkspaceRateLimiter &rateLimiter;
    LoadShedder &shedder;
    IRetryBudget &rootRequestRetryBudget;
    IRetryBudget &innerCallRetryBudget; ///< For inner calls of the local instance.
    IngressProxy &ingress;
    const std::shared_ptr<MemoryBudget> &memory;
};

/// Receives requests of callers and of the local instance, decides whether to admit them, and forwards each to an
/// instance.
class EgressProxy final : public IHttpListener
{
public:
    explicit EgressProxy(const NodeDependencies &dependencies);

    /// Sets the server that sends the responses and the link to other nodes. Both must stay valid while requests are
    /// handled.
    void connect(IHttpServer &server, IPeerLink &link);

    void setRouteTable(RouteTable table);
    [[nodiscard]] const RouteTable &routeTable() const
    {
        return m_routeTable;
    }

    /// Refuses requests until a configuration of at least this version is in force. For the start of a process: the
    /// store may have come back from an older copy, and other nodes know of a newer configuration.
    void requireConfigVersion(std::uint64_t version)
    {
        m_requiredConfigVersion = version;
    }
    [[nodiscard]] bool hasRequiredConfig() const
    {
        const std::uint64_t version = m_routeTable.config().version;
        return version > 0 && version >= m_requiredConfigVersion;
    }

    /// Returns and resets the number of root requests by route, excluding requests beyond their workspace's rate.
    std::map<RouteName, int> popOfferedCounts();

    StoreFreshness &freshness()
    {
        return m_freshness;
    }

    /// Time in milliseconds since the configuration was last confirmed as the newest, or "never".
    [[nodiscard]] std::string configAgeText() const;

    void onRequest(ExchangeId exchange, HttpRequest request, const std::string &peerAddress) override;
    void onExchangeAbandoned(ExchangeId exchange) override;

    [[nodiscard]] std::size_t inFlight() const
    {
        return m_requests.size();
    }

    void refuseNewRequests();

    /// Ends the time limit of the stored requests, and of those received from now on, at the given times at the latest.
    void limitDeadlines(TimePoint latestOfStored, TimePoint latestOfNew);

private:
    struct Request {
        ExchangeId exchange;
        std::string attemptId; ///< Id of the caller's attempt, shared by all attempts of the node for it.
        RouteName route;
        ServiceName service; ///< Chosen once, so that retries do not shift the traffic split.
        WorkspaceName workspace;
        bool idempotent = false;
        bool innerCall = false;
        int rank = 0;
        int maxRuns = 1; ///< Value of possibleRuns from which no retry is made.
        int possibleRuns = 0; ///< Attempts that ran at an instance or may have run.
        int tries = 0; ///< Nodes tried, including refused and undelivered attempts.
        TimePoint receivedAt;
        Duration targetLatency{0};
        TimePoint deadline;
        TimePoint callerDeadline; ///< When the caller stops waiting; later than the deadline during a shutdown.
        EventLoop::TimerId deadlineTimer = 0;
        CallRequest call;
        std::set<NodeName> triedNodes;
        NodeName node; ///< Node of the current or last attempt.
        std::string instance; ///< Id of the node's instance according to the registry.
        OutgoingCallId outgoingCall; ///< Set while another node handles the attempt.
        TicketId localTicket; ///< Set while the local instance handles the attempt.
    };

    /// A refusal before the first attempt.
    struct Rejection {
        int status = 0;
        RefusalKind kind = RefusalKind::None;
        Duration retryAfter{0};
    };

    std::optional<Rejection> validate(const HttpRequest &http, Request &request);
    std::optional<Rejection> authenticate(const HttpRequest &http, const TrafficRoute &route, Request &request);
    void prepareCall(HttpRequest http, Request &request) const;
    void onTokenOutcome(RequestId id, TokenOutcome outcome, Duration expectedWait);
    void admit(RequestId id);
    void reject(const Request &request, const Rejection &rejection);
    void rejectStored(RequestId id, const Rejection &rejection);
    [[nodiscard]] Rejection
    makeRejection(const Request &request, int status, RefusalKind kind, Duration expectedWait = Duration{0});

    void startAttempt(RequestId id);
    void onReply(RequestId id, PeerCallOutcome outcome, CallReply reply);
    void onRefusedReply(RequestId id, const CallReply &reply);
    void onUnknownOutcome(RequestId id, RefusalKind kind);
    void onTimeout(RequestId id);
    bool tryAcquireRetry(const Request &request);
    IRetryBudget &retryBudget(const Request &request);
    void sendAnswer(RequestId id, CallReply reply);
    void fail(RequestId id, int status, RefusalKind kind, Duration expectedWait);
    void startDeadlineTimer(RequestId id, Request &request);
    RunState cancelAttempt(Request &request);
    void removeRequest(RequestId id);

    NodeDependencies m_dependencies;
    IHttpServer *m_server = nullptr;
    IPeerLink *m_link = nullptr;
    RouteTable m_routeTable;
    StoreFreshness m_freshness;
    bool m_refusingNewRequests = false;
    std::uint64_t m_requiredConfigVersion = 0;
    TimePoint m_latestDeadline = TimePoint::max();
    std::uint64_t m_lastRequestId = 0;
    std::map<RequestId, Request> m_requests;
    std::map<ExchangeId, RequestId> m_exchanges;
    std::map<RouteName, int> m_offeredCounts;
};

} // namespace vanillatack
