#pragma once

#include "documents/documentssetup.h"
#include "node/internal/burnarchive.h"
#include "node/internal/egress.h"
#include "node/internal/ingress.h"
#include "node/internal/upstreamlifecycle.h"
#include "node/nodesetup.h"

namespace vanillatack {

/// Owns the modules of one node's decision logic and forwards messages and notifications between them.
class Node final : public INode,
                   private IAdmissionListener,
                   private IMembershipListener,
                   private IDocumentsListener,
                   private IDocumentPeers,
                   private IQuotaListener
{
public:
    Node(const NodeEnvironment &environment, const SelfDescription &self);

    void tick() override;
    void receive(const Endpoint &from, const ControlMessage &message) override;

    EgressDecision beginRequest(const EgressRequest &request) override;
    EgressDecision resumeRequest(RequestId request, bool lastTry) override;
    void claim(RequestId request, const std::string &requestDigest, IClaims::ClaimCompletion done) override;
    AttemptPlan planAttempt(RequestId request) override;
    RetryDecision endAttempt(RequestId request, CallId call, TransportOutcome outcome, const CallReply &reply) override;
    void endRequest(RequestId request, const StoredAnswer &answer, const Refusal &refusal) override;

    IngressDecision offer(const CallRequest &request) override;
    std::optional<CallReply> ticketRefusal(TicketId ticket) override;
    [[nodiscard]] bool isAdmitted(TicketId ticket) const override;
    void cancelTicket(TicketId ticket) override;
    UpstreamCall start(TicketId ticket) override;
    CallReply finish(TicketId ticket, const UpstreamResult &result) override;

    Result<void> announce(const UpstreamAnnouncement &announcement) override;
    void setOperatorDrain(bool draining) override;
    void startShutdown() override;
    void leaveFleet() override;

    [[nodiscard]] bool isReady(std::string &reason) const override;
    [[nodiscard]] bool isDraining() const override;
    [[nodiscard]] bool areKeysStale() const override;
    void collectBurn(std::int64_t fromMinute,
                     std::int64_t toMinute,
                     std::function<void(Result<CollectedBurn>)> done) override;
    [[nodiscard]] std::size_t requestsInProgress() const override;
    [[nodiscard]] UpstreamStatus upstream() const override;
    [[nodiscard]] std::vector<RefusalRecord> recentRefusals() const override;
    [[nodiscard]] const FleetConfig &config() const override;
    IDocuments &documents() override;
    IKeyring &keyring() override;
    IMembership &membership() override;
    IQuota &quota() override;
    IRouter &router() override;
    IBurnCounters &burn() override;

private:
    void onAdmitted(TicketId ticket) override;
    void onRefused(TicketId ticket, RefusalKind refusal, Duration retryAfter) override;
    void onServiceChanged(const ServiceName &service, const std::vector<Member> &instances) override;
    void onPeerVersions(const Endpoint &peer, const StateVersions &versions) override;
    void onDocument(DocumentKind kind, const Document &document) override;
    void onWithdrawals(const std::vector<WithdrawnKey> &added) override;
    [[nodiscard]] std::vector<Endpoint> spreadTargets(std::size_t count) override;
    [[nodiscard]] bool isAmongFirstRelays(std::size_t count) const override;
    void onTokensAvailable(const WorkspaceName &workspace) override;

    DocumentsSettings documentsSettings();
    void applyConfiguration(const Document &document);
    void applyKeys(const Document &document);
    void configureAdmission();
    void updateQuota();
    [[nodiscard]] ShareFraction ownShare() const;
    void updateUpstream();
    void updateGauges();
    void updateQuotaGauges();
    /// Returns why the local instance cannot take the call; RefusalKind::None when it can.
    [[nodiscard]] Refusal refusalIfNotServing(const CallRequest &request) const;

    /// Returns the node that collects the burn figures of the zone: the alive or draining node with the lowest name.
    /// Suspect nodes are left out.
    [[nodiscard]] Member zoneCollector() const;
    RequestId nextRequest();

    NodeEnvironment m_environment;
    const SelfDescription m_self;
    const TimePoint m_startedAt;
    FleetConfig m_config;
    std::unique_ptr<IRetryAllowanceLedger> m_ledger;
    std::unique_ptr<IRetryBudget> m_retryBudget;
    std::unique_ptr<IAdmission> m_admission;
    std::unique_ptr<IRouter> m_router;
    std::unique_ptr<IMembership> m_membership;
    std::unique_ptr<IKeyring> m_keyring;
    std::unique_ptr<IDocuments> m_documents;
    std::unique_ptr<IQuota> m_quota;
    std::unique_ptr<IClaims> m_claims;
    std::unique_ptr<IBurnCounters> m_burn;
    BurnArchive m_burnArchive;
    UpstreamLifecycle m_upstream;
    Ingress m_ingress;
    Egress m_egress;
    std::uint64_t m_lastRequest = 0;
    bool m_shuttingDown = false;
    TimePoint m_nextModuleTick;
    TimePoint m_nextQuotaAndGaugeUpdate;
    ShareFraction m_share; ///< Share last passed to the quota module.
    std::map<WorkspaceName, WorkspaceQuota> m_quotas; ///< Quotas last passed to the quota module.
};

} // namespace vanillatack
