#pragma once

#include "instance/localinstance.h"
#include "instance/slotqueue.h"
#include "metrics/imetrics.h"
#include "net/httpclient.h"
#include "proxy/decisionlog.h"
#include "proxy/proxysettings.h"
#include "rootadmission/callgraph.h"

#include <functional>

namespace vanillatack {

using IngressCompletion = std::function<void(CallReply)>;

/// Passes calls on to the instance beside the node. It alone reaches the instance, so that it alone knows what the
/// instance has in hand and can keep new requests away from one that leaves.
class IngressProxy
{
public:
    IngressProxy(EventLoop &loop,
                 const IClock &clock,
                 const ProxySettings &settings,
                 DecisionLog &decisions,
                 IMetrics &metrics);

    /// The completion is called once, unless the call is abandoned.
    TicketId offer(CallRequest request, IngressCompletion completion);

    /// Nobody waits for the answer any more. Work that may not be cut off goes on.
    void abandon(TicketId ticket);

    AnnouncementVerdict announce(const InstanceAnnouncement &announcement);
    AnnouncementVerdict withdraw(const std::string &id, std::uint64_t startedAtMs);

    /// From now on calls are refused; what is queued or running goes on.
    void startDraining();

    [[nodiscard]] bool accepts() const;
    [[nodiscard]] const LocalInstance &instance() const
    {
        return m_instance;
    }
    [[nodiscard]] const SlotQueue &slotQueue() const
    {
        return m_slotQueue;
    }
    [[nodiscard]] std::size_t inProgress() const
    {
        return m_calls.size();
    }

    /// Mean work time of each route that ran here.
    [[nodiscard]] std::vector<RouteLoad> loads() const;

    CallGraph &callGraph()
    {
        return m_callGraph;
    }

private:
    struct Call {
        CallRequest request;
        IngressCompletion completion; ///< Empty when nobody waits any more.
        TimePoint deadline;
        ClientCallId upstream;
        bool started = false;
    };

    void start(TicketId ticket);
    void onUpstreamEnd(TicketId ticket, ClientResult result);
    CallReply judge(const Call &call, ClientResult result);
    void release(TicketId ticket, bool wholeAnswer);
    void refuse(TicketId ticket, RefusalKind kind, Duration retryAfter);
    void refuseQueued(RefusalKind kind);
    void watchQueue();
    HttpRequest upstreamRequest(const Call &call, Duration timeLeft) const;

    EventLoop &m_loop;
    const IClock &m_clock;
    const ProxySettings &m_settings;
    DecisionLog &m_decisions;
    IMetrics &m_metrics;
    std::unique_ptr<IHttpClient> m_client;
    LocalInstance m_instance;
    SlotQueue m_slotQueue;
    CallGraph m_callGraph;
    bool m_draining = false;
    bool m_watchingQueue = false;
    std::uint64_t m_lastTicket = 0;
    std::map<TicketId, Call> m_calls;
    std::map<RouteName, TimePoint> m_routesSeen;
};

} // namespace vanillatack
