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

/// What the parts of a node share. All references outlive the node's parts.
struct NodeParts {
    EventLoop &loop;
    const IClock &clock;
    IRandom &random;
    const ProxySettings &settings;
    DecisionLog &decisions;
    IMetrics &metrics;
    NodeDirectory &directory;
    WorkspaceRateLimiter &rates;
    LoadShedder &shedder;
    IRetryBudget &retries; ///< Of requests of callers.
    IRetryBudget &callRetries; ///< Of calls that the own instance makes.
    IngressProxy &ingress;
};

/// Takes requests of callers and of the own instance, decides whether they enter, and finds an instance for each.
class EgressProxy final : public IHttpListener
{
public:
    explicit EgressProxy(const NodeParts &parts);

    /// The server and the link must outlive the proxy's use of them.
    void connect(IHttpServer &server, IPeerLink &link);

    void setTable(RouteTable table);
    [[nodiscard]] const RouteTable &table() const
    {
        return m_table;
    }

    /// Requests of callers on each route since the last call, without those beyond their workspace's rate.
    std::map<RouteName, int> takeOffered();

    StoreFreshness &freshness()
    {
        return m_freshness;
    }

    void onRequest(ExchangeId exchange, HttpRequest request, const std::string &peerAddress) override;
    void onCallerGone(ExchangeId exchange) override;

    [[nodiscard]] std::size_t inProgress() const
    {
        return m_requests.size();
    }

    /// From now on new requests are refused.
    void refuseNew();

private:
    struct Request {
        ExchangeId exchange;
        std::string attemptId;
        RouteName route;
        ServiceName service; ///< Chosen once; a split is not evaded by retries.
        WorkspaceName workspace;
        bool idempotent = false;
        bool fromInstance = false; ///< A call of work that the own instance does.
        int rank = 0;
        int maxAttempts = 1;
        int arrived = 0; ///< Attempts that reached an instance.
        int tries = 0;
        TimePoint enteredAt;
        Duration targetLatency{0};
        TimePoint deadline;
        EventLoop::TimerId timer = 0;
        CallRequest call;
        std::set<NodeName> excluded;
        NodeName node; ///< Of the attempt under way, or the last one.
        std::string instance; ///< That the registry names for the node.
        OutgoingCallId outgoing;
        TicketId local; ///< When the own instance serves the attempt.
    };

    /// A refusal before any attempt.
    struct Rejection {
        int status = 0;
        RefusalKind kind = RefusalKind::None;
        Duration retryAfter{0};
    };

    std::optional<Rejection> check(const HttpRequest &http, Request &request);
    std::optional<Rejection> identify(const HttpRequest &http, const TrafficRoute &route, Request &request);
    void prepareCall(const HttpRequest &http, Request &request) const;
    void onToken(RequestId id, TokenOutcome outcome, Duration expectedWait);
    void enter(RequestId id);
    void reject(const Request &request, const Rejection &rejection);
    void rejectStored(RequestId id, const Rejection &rejection);
    [[nodiscard]] Rejection
    rejectionOf(const Request &request, int status, RefusalKind kind, Duration expectedWait = Duration{0});

    void attempt(RequestId id);
    void onReply(RequestId id, PeerCallEnd end, CallReply reply);
    void onRefusedReply(RequestId id, const CallReply &reply);
    void onUnknownEnd(RequestId id, RefusalKind kind);
    void onTimeout(RequestId id);
    bool mayRepeat(const Request &request);
    IRetryBudget &retryBudget(const Request &request);
    void answer(RequestId id, CallReply reply);
    void giveUp(RequestId id, int status, RefusalKind kind, Duration retryAfter);
    void cancelAttempt(Request &request);
    void close(RequestId id);
    [[nodiscard]] std::string freshnessText() const;

    NodeParts m_parts;
    IHttpServer *m_server = nullptr;
    IPeerLink *m_link = nullptr;
    RouteTable m_table;
    StoreFreshness m_freshness;
    bool m_refusing = false;
    std::uint64_t m_lastRequest = 0;
    std::map<RequestId, Request> m_requests;
    std::map<ExchangeId, RequestId> m_exchanges;
    std::map<RouteName, int> m_offered;
};

} // namespace vanillatack
