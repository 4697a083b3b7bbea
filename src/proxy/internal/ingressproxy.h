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

/// Forwards calls to the local instance. All requests to the instance go through it, so that it knows what the instance
/// is running and can keep new requests away from a draining instance.
class IngressProxy
{
public:
    IngressProxy(EventLoop &loop,
                 const IClock &clock,
                 const ProxySettings &settings,
                 DecisionLog &decisions,
                 IMetrics &metrics,
                 std::shared_ptr<MemoryBudget> memory);

    /// Starts, queues or refuses a call. The completion is called once, unless the call is abandoned. If the call is
    /// refused at once, it is called before offer() returns.
    TicketId offer(CallRequest request, IngressCompletion completion);

    /// Records that the sender no longer waits for the reply. A queued call is removed and a running idempotent one is
    /// cancelled; other running calls continue. Returns NotRun if the call was queued, otherwise Unknown.
    RunState abandon(TicketId ticket);

    AnnouncementVerdict announce(const InstanceAnnouncement &announcement);
    AnnouncementVerdict withdraw(const std::string &id, std::uint64_t startedAtMs);

    /// See LocalInstance.
    void startRecovery();
    void finishRecovery();
    void restore(const std::vector<Departure> &departures);

    /// Refuses the queued calls and from now on new ones, as not run. Running calls continue.
    void refuseNewCalls();

    [[nodiscard]] bool accepts() const;
    [[nodiscard]] const LocalInstance &instance() const
    {
        return m_instance;
    }
    [[nodiscard]] const SlotQueue &slotQueue() const
    {
        return m_slotQueue;
    }
    [[nodiscard]] std::size_t inFlight() const
    {
        return m_calls.size();
    }

    /// Mean work time in seconds of each route that has run recently at the local instance; offeredPerSecond is left 0.
    /// Forgets the other routes.
    [[nodiscard]] std::vector<RouteLoad> workTimes();

    CallGraph &callGraph()
    {
        return m_callGraph;
    }

private:
    struct Call {
        CallRequest request;
        IngressCompletion completion; ///< Empty for an abandoned call.
        TimePoint deadline;
        ClientCallId upstreamCall;
        MemoryCharge charge; ///< Of the request without its body, which has a charge of its own.
        bool started = false;
    };

    using CallNode = std::map<TicketId, Call>::node_type;

    void start(TicketId ticket);
    void onUpstreamResult(TicketId ticket, ClientResult result);
    CallReply classify(const Call &call, ClientResult result);
    void recordLeaving(const HeaderList &headers);
    void recordRequestLimit(const HeaderList &headers, bool answered);
    void updateSlots();
    void release(TicketId ticket, bool answerComplete);
    void refuse(TicketId ticket, RefusalKind kind, Duration expectedWait);
    void refuseQueued(RefusalKind kind);
    void scheduleQueueCheck();
    HttpRequest upstreamRequest(Call &call, Duration timeLeft) const;

    EventLoop &m_loop;
    const IClock &m_clock;
    const ProxySettings &m_settings;
    DecisionLog &m_decisions;
    IMetrics &m_metrics;
    std::shared_ptr<MemoryBudget> m_memory;
    std::unique_ptr<IHttpClient> m_client;
    LocalInstance m_instance;
    SlotQueue m_slotQueue;
    CallGraph m_callGraph;
    bool m_refusingNewCalls = false;
    bool m_instanceAnswered = false; ///< Whether a request has been answered since the start of the instance.
    bool m_queueCheckScheduled = false;
    std::uint64_t m_lastTicket = 0;
    std::map<TicketId, Call> m_calls;
    std::map<RouteName, TimePoint> m_routeLastSeenAt;
};

} // namespace vanillatack
