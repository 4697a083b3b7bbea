#pragma once

#include "quota/internal/demandestimator.h"
#include "quota/internal/loanbook.h"
#include "quota/internal/shareowners.h"
#include "quota/internal/sharetimeline.h"
#include "quota/quotasetup.h"

#include <map>
#include <vector>

namespace vanillatack {

/// IQuota in two roles: every node borrows for its own demand (quotaborrowing.cpp); share owners also lend to nodes and
/// to other owners (quotalending.cpp). The LoanBook of each workspace keeps the sums exact. This class only decides how
/// much to request and to lend, so that wrong estimates cause refusals but never exceed the quota.
class QuotaService final : public IQuota
{
public:
    QuotaService(IClock &clock,
                 IRandom &random,
                 IMessageSender &sender,
                 IQuotaListener &listener,
                 const NodeName &self,
                 const Endpoint &endpoint,
                 std::uint64_t incarnation,
                 const QuotaSettings &settings);

    void configure(const std::map<WorkspaceName, WorkspaceQuota> &quotas, const ShareFraction &share) override;
    void setShareOwners(const std::vector<Member> &owners) override;
    QuotaDecision tryAcquire(const WorkspaceName &workspace) override;
    void tick() override;
    void receive(const Endpoint &from, const BorrowRequest &message) override;
    void receive(const Endpoint &from, const BorrowGrant &message) override;
    void receive(const Endpoint &from, const LoanReturn &message) override;
    [[nodiscard]] std::vector<QuotaSnapshot> snapshot() const override;

private:
    /// Borrowing from one lender: the outstanding request, backoff and renewal of the loan held.
    struct LenderState {
        /// 0 when no request is outstanding; UnsentSequence while the request waits in a batch.
        std::uint64_t sequence = 0;
        TimePoint sentAt;
        QuotaAmount requestedAmount; ///< Amount of the last request.
        TimePoint nextRequestAt; ///< Earliest time of a request for a higher amount.
        Duration backoff{0}; ///< Doubled when the lender grants clearly less than requested.
        TimePoint renewAt; ///< Renewal time of the loan held.
        bool scarce = false; ///< The last grant was empty or had the burst of only one request.
    };

    /// Amount that a borrower last requested.
    struct BorrowerDemand {
        QuotaAmount amount;
        std::uint64_t incarnation = 0; ///< Incarnation of the borrower.
        /// Served from the own share only: a share owner, and the workspace is not pooled here.
        bool fromOwner = false;
        TimePoint reportedAt;
    };

    /// A borrow request whose answer waits for loans that this node requested from other owners.
    struct DeferredRequest {
        Endpoint replyTo;
        NodeName sender;
        std::uint64_t sequence = 0;
        LoanItem item;
        TimePoint until;
    };

    struct Workspace {
        WorkspaceName name;
        WorkspaceQuota fleetQuota; ///< Zero when the workspace is no longer in the configuration.
        ShareTimeline share;
        LoanBook book;
        DemandEstimator demand;
        std::map<NodeName, LenderState> lenderStates;
        std::map<NodeName, BorrowerDemand> borrowerDemands;
        std::vector<DeferredRequest> deferredRequests;
        TimePoint waitingUntil; ///< Callers are assumed to wait for tokens until then.
        int waitingCallers = 0; ///< Requests answered with tokensExpected since the last notification.
        int expectedRetries = 0; ///< Retries expected after the notification; not counted as demand again.
        TimePoint retryWindowEnd;
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
    };

    using Batches = std::map<NodeName, std::vector<LoanItem>>;

    // ---- both roles
    /// Returns the current time. Suspends the own share when this node was paused.
    TimePoint currentTime();
    void advance(Workspace &workspace, TimePoint now);
    [[nodiscard]] bool isPooled(const Workspace &workspace) const;
    /// True when this node lends this workspace to nodes, false when it borrows it from another owner.
    [[nodiscard]] bool isLender(const Workspace &workspace, TimePoint now) const;
    /// Rate and burst for the demand at this node, at most the quota of the fleet.
    [[nodiscard]] QuotaAmount ownDemand(const Workspace &workspace, TimePoint now) const;
    /// ownDemand() plus the demand of the borrowers, without those served as share owners.
    [[nodiscard]] QuotaAmount servedDemand(const Workspace &workspace, TimePoint now) const;
    void notifyListener(Workspace &workspace, TimePoint now);
    LoanId nextLoanId();

    // ---- borrower
    void borrow(Workspace &workspace, TimePoint now, Batches &batches);
    void borrowAsNode(Workspace &workspace, TimePoint now, Batches &batches);
    void borrowAsOwner(Workspace &workspace, TimePoint now, Batches &batches);
    void borrowFromOtherOwners(Workspace &workspace, QuotaAmount missing, TimePoint now, Batches &batches);
    void renewAsOwner(Workspace &workspace, QuotaAmount surplus, TimePoint now, Batches &batches);
    void renewEarly(TimePoint now, Batches &batches);
    void expireRequests(Workspace &workspace, TimePoint now);
    void addBorrowRequest(Workspace &workspace,
                          const NodeName &lender,
                          const QuotaAmount &amount,
                          TimePoint now,
                          Batches &batches);
    void returnLoan(Workspace &workspace, const NodeName &lender);
    void sendBatches(Batches &batches, TimePoint now);
    void acceptItem(const NodeName &lender, std::uint64_t sequence, const LoanItem &item, TimePoint now);
    [[nodiscard]] bool isIdle(const Workspace &workspace, TimePoint now) const;
    [[nodiscard]] Duration maxBackoff() const;
    [[nodiscard]] Duration answerTimeout(const NodeName &lender) const;
    [[nodiscard]] bool hasOutstandingRequest(const Workspace &workspace) const;
    [[nodiscard]] bool isLoanExpected(const Workspace &workspace, TimePoint now) const;

    // ---- lender
    [[nodiscard]] QuotaAmount lentToOwners(const Workspace &workspace) const;
    /// Counts a borrow request received. False when it exceeds the rate limit.
    bool allowBorrowRequest(TimePoint now);
    void answerDeferredRequests(Workspace &workspace, TimePoint now);
    LoanItem handleRequestItem(const BorrowRequest &message, const LoanItem &item, TimePoint now);
    LoanItem lendToNode(Workspace &workspace, const BorrowerKey &borrower, const LoanItem &item, TimePoint now);
    LoanItem
    lendTokensOnly(Workspace &workspace, const BorrowerKey &borrower, const LoanItem &item, bool scarce, TimePoint now);
    LoanItem lendToOwner(Workspace &workspace, const BorrowerKey &borrower, const LoanItem &item, TimePoint now);
    LoanItem lend(Workspace &workspace,
                  const BorrowerKey &borrower,
                  const QuotaAmount &amount,
                  std::int64_t tokens,
                  Duration term,
                  TimePoint now);
    [[nodiscard]] TimePoint lenderExpiry(TimePoint now, Duration term) const;

    IClock &m_clock;
    IMessageSender &m_sender;
    IQuotaListener &m_listener;
    NodeName m_self;
    Endpoint m_endpoint;
    std::uint64_t m_incarnation;
    QuotaSettings m_settings;
    bool m_configured = false;
    TimePoint m_lastCallAt;
    TimePoint m_shareSuspendedUntil;
    ShareOwners m_owners;
    std::map<WorkspaceName, Workspace> m_workspaces;
    std::uint64_t m_nextSequence;
    std::uint64_t m_nextLoanId;
    /// A loan is renewed after this percentage of its remaining term. Random, so that nodes started together do not
    /// renew together.
    int m_renewalPercent;
    /// Token bucket that limits borrow requests received to maxBorrowRequestsPerSecond.
    std::int64_t m_borrowRequestsLeft;
    TimePoint m_borrowRequestsUpdatedAt;
};

/// Sequences and loan ids hold the incarnation above a counter of this many bits.
inline constexpr int IncarnationShift = 20;

} // namespace vanillatack
