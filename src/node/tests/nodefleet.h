#pragma once

#include "node/tests/fakes.h"
#include "statechart/builtincharts.h"
#include "store/platformsetup.h"
#include "testing/manualexecutor.h"

#include <CppUTest/TestHarness.h>

namespace vanillatack {

struct RequestResult {
    Refusal refusal;
    StoredAnswer answer;
};

struct WorkResult {
    UpstreamResult upstreamResult{true, true, false, false, 200};
    std::string body;
};

/// Nodes of one zone in virtual time. Requests run synchronously, with the same calls of INode as in the daemon.
struct NodeFleet {
    struct Instance final : IMessageSender, INodeListener {
        NodeFleet &fleet;
        const SelfDescription self;
        const ServiceName service;
        std::unique_ptr<INode> node;

        Instance(NodeFleet &owner, std::uint16_t port, const std::string &name)
            : fleet(owner)
            , self{NodeName("n" + std::to_string(port)),
                   ZoneName("z"),
                   {"10.0.0.1", port},
                   port == 1 ? 0 : -1,
                   {{"10.0.0.1", 0}}}
            , service(name)
            , node(makeNode({owner.clock,
                             owner.random,
                             *this,
                             owner.table,
                             *owner.platform.objects,
                             owner.metrics,
                             *this,
                             owner.charts.charts.at("upstream")},
                            self))
        {
        }
        void send(const Endpoint &to, const ControlMessage &message) override
        {
            fleet.executor.postAfter(std::chrono::microseconds(500), [this, to, message] {
                fleet.nodes.at(to.port)->node->receive(self.endpoint, message);
            });
        }
        void onTicketDecided(TicketId) override // The fixture polls the tickets.
        {
        }
        void onTokensAvailable(const WorkspaceName &) override
        {
        }
    };

    ManualClock clock;
    SeededRandom random;
    ManualExecutor executor{clock};
    PlatformServices platform = makeMemoryPlatform(executor);
    FaultyTable table{*platform.table, executor};
    NullMetrics metrics;
    BuiltInCharts charts = loadBuiltInCharts();
    std::vector<std::unique_ptr<Instance>> nodes;
    std::function<WorkResult(std::size_t node, const CallRequest &, const UpstreamCall &)> upstream =
        [](std::size_t, const CallRequest &, const UpstreamCall &) {
            return WorkResult{};
        };
    std::function<LinkFault(const CallRequest &)> link = [](const CallRequest &) {
        return LinkFault::None;
    };
    int calls = 0; ///< Root requests and inner calls with at least one attempt.
    int attempts = 0;

    /// Creates one node for each service name. Node 1 owns the complete quota of the zone; the others have to borrow.
    explicit NodeFleet(const std::vector<std::string> &services, std::uint64_t seed = 1)
        : random(seed)
    {
        for (const std::string &service : services) {
            nodes.push_back(std::make_unique<Instance>(*this, static_cast<std::uint16_t>(nodes.size()), service));
        }
    }
    INode &node(std::size_t index)
    {
        return *nodes.at(index)->node;
    }
    void apply(DocumentKind kind, const std::string &content)
    {
        IDocuments &documents = node(0).documents();
        std::optional<std::string> problem = "no answer";
        documents.apply({kind, documents.current(kind).version, content, "test", "test"}, [&](const auto &result) {
            problem = result ? std::optional<std::string>() : result.error().text();
        });
        run(std::chrono::seconds(2));
        STRCMP_EQUAL("", problem.value_or("").c_str());
    }
    void run(Duration duration)
    {
        for (const TimePoint end = clock.now() + duration; clock.now() < end;) {
            executor.runFor(std::chrono::milliseconds(5));
            for (const auto &each : nodes) {
                CHECK(each->node->announce({each->service, {"127.0.0.1", 1}, 50, "ready"}).has_value());
                each->node->tick();
            }
        }
    }
    RequestResult request(std::size_t index, const EgressRequest &head, const std::string &body = {})
    {
        EgressDecision decision = node(index).beginRequest(head);
        for (int wait = 0; decision.outcome == EgressOutcome::WaitForTokens; ++wait) {
            run(std::chrono::milliseconds(5));
            decision = node(index).resumeRequest(decision.request, wait >= 5);
        }
        if (decision.outcome == EgressOutcome::Refused) {
            return {decision.refusal, {}};
        }
        RequestResult outcome;
        if (!decision.needsClaim || claim(node(index), decision, head.method + head.target + body, outcome)) {
            outcome = attempt(node(index), decision.request, head, body);
        }
        node(index).endRequest(decision.request, outcome.answer, outcome.refusal);
        return outcome;
    }
    /// Returns whether the claim was acquired and the request may be sent; sets the result otherwise.
    bool claim(INode &egressNode, const EgressDecision &decision, const std::string &digest, RequestResult &outcome)
    {
        const auto result = std::make_shared<std::optional<ClaimResult>>();
        egressNode.claim(decision.request, digest, [result](const ClaimResult &given) {
            *result = given;
        });
        while (!*result && clock.now() < decision.deadline) {
            run(std::chrono::milliseconds(5));
        }
        const ClaimResult given = result->value_or(ClaimResult{});
        outcome.answer = given.answer;
        if (given.outcome == ClaimOutcome::InProgress) {
            outcome.refusal = {RefusalKind::DuplicateInProgress, RunState::Unknown, given.retryAfter};
        } else if (given.outcome == ClaimOutcome::Mismatch) {
            outcome.refusal = {RefusalKind::IdempotencyMismatch, RunState::NotRun, given.retryAfter};
        } else if (given.outcome == ClaimOutcome::Unavailable) {
            outcome.refusal = {RefusalKind::StoreUnavailable, RunState::NotRun, std::chrono::seconds(1)};
        }
        return given.outcome == ClaimOutcome::Acquired;
    }
    RequestResult attempt(INode &egressNode, RequestId id, const EgressRequest &request, const std::string &body)
    {
        for (bool first = true;; first = false) {
            AttemptPlan plan = egressNode.planAttempt(id);
            if (plan.outcome == PlanOutcome::Refused) {
                return {plan.refusal, {}};
            }
            calls += first ? 1 : 0;
            ++attempts;
            plan.message.method = request.method;
            plan.message.target = request.target;
            plan.message.body = body;
            const LinkFault fault = link(plan.message);
            const bool arrives = fault == LinkFault::None || fault == LinkFault::ReplyLost;
            CallReply reply = arrives ? serve(plan.node.port, plan.message) : CallReply{};
            const TransportOutcome failed =
                fault == LinkFault::NotSent ? TransportOutcome::NotSent : TransportOutcome::Broken;
            const TransportOutcome outcome = fault == LinkFault::None ? TransportOutcome::Replied : failed;
            const RetryDecision decision = egressNode.endAttempt(id, plan.call, outcome, reply);
            if (decision.outcome != RetryOutcome::Retry) {
                const bool answered = decision.outcome == RetryOutcome::Answer;
                return {decision.refusal, answered ? StoredAnswer{reply.status, {}, reply.body} : StoredAnswer{}};
            }
        }
    }
    CallReply serve(std::size_t index, const CallRequest &call)
    {
        const IngressDecision decision = node(index).offer(call);
        if (decision.outcome == AdmissionOutcome::Refused) {
            return decision.refusal;
        }
        while (!node(index).isAdmitted(decision.ticket)) {
            if (const auto refusal = node(index).ticketRefusal(decision.ticket)) {
                return *refusal;
            }
            run(std::chrono::milliseconds(5));
        }
        const WorkResult result = upstream(index, call, node(index).start(decision.ticket));
        CallReply reply = node(index).finish(decision.ticket, result.upstreamResult);
        reply.body = result.body;
        return reply;
    }
};

} // namespace vanillatack
