#pragma once

#include "quota/internal/demand.h"
#include "quota/internal/loanbook.h"
#include "quota/internal/owners.h"
#include "quota/internal/sharetimeline.h"
#include "quota/quotasetup.h"

#include <map>
#include <vector>

namespace vanillatack {

/// IQuota in two roles: every node borrows for its own demand (quotaborrowing.cpp); share owners also lend to nodes and
/// to other owners (quotalending.cpp). The LoanBook of each workspace keeps the sums exact; everything here only
/// decides how much to ask for and to give, so that wrong estimates cost refusals but never tokens.
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
    /// What this node asked one lender for.
    struct Ask {
        std::uint64_t sequence = 0; ///< 0 when no request is outstanding.
        TimePoint sentAt;
        QuotaAmount amount;
        TimePoint notBefore; ///< Of the next request for a higher amount.
        Duration pause{0}; ///< Doubled each time the lender gives little.
        TimePoint renewAt; ///< Of the loan held.
        bool scarce = false; ///< The lender had nothing or little to give.
    };

    /// What a borrower last asked for.
    struct Want {
        QuotaAmount amount;
        std::uint64_t incarnation = 0; ///< Of the borrower.
        bool fromOwner = false; ///< To be served from the own share only.
        TimePoint at;
    };

    /// A request that waits for shares that are being collected.
    struct Deferred {
        Endpoint replyTo;
        NodeName sender;
        std::uint64_t sequence = 0;
        LoanItem item;
        TimePoint until;
    };

    struct Workspace {
        WorkspaceName name;
        WorkspaceQuota fleet; ///< Zero when the configuration no longer has it.
        ShareTimeline share;
        LoanBook book;
        Demand demand;
        std::map<NodeName, Ask> asks;
        std::map<NodeName, Want> wants;
        std::vector<Deferred> deferred;
        TimePoint waitingUntil; ///< A caller probably waits for a token until then.
        int waiting = 0; ///< Requests that were told to wait since tokens last arrived.
        int retries = 0; ///< Of these requests after tokens arrived; not counted as demand again.
        TimePoint retriesUntil;
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
    };

    using Batches = std::map<NodeName, std::vector<LoanItem>>;

    // ---- both roles
    /// The time now; notices when this node was paused.
    TimePoint currentTime();
    void advance(Workspace &workspace, TimePoint now);
    [[nodiscard]] bool isPooled(const Workspace &workspace) const;
    /// Whether this node lends this workspace to nodes now, rather than borrowing from another owner.
    [[nodiscard]] bool isLender(const Workspace &workspace, TimePoint now) const;
    [[nodiscard]] QuotaAmount ownWant(const Workspace &workspace, TimePoint now) const;
    [[nodiscard]] QuotaAmount nodesWant(const Workspace &workspace, TimePoint now) const;
    void notifyWaiting(Workspace &workspace, TimePoint now);
    LoanId newLoan();

    // ---- borrower
    void borrow(Workspace &workspace, TimePoint now, Batches &batches);
    void borrowAsNode(Workspace &workspace, TimePoint now, Batches &batches);
    void borrowAsOwner(Workspace &workspace, TimePoint now, Batches &batches);
    void collect(Workspace &workspace, QuotaAmount missing, TimePoint now, Batches &batches);
    void renewAsOwner(Workspace &workspace, QuotaAmount surplus, TimePoint now, Batches &batches);
    void renewAlongside(TimePoint now, Batches &batches);
    void noteTimeouts(Workspace &workspace, TimePoint now);
    void
    addAsk(Workspace &workspace, const NodeName &lender, const QuotaAmount &amount, TimePoint now, Batches &batches);
    void returnLoan(Workspace &workspace, const NodeName &lender);
    void sendBatches(Batches &batches, TimePoint now);
    void acceptItem(const NodeName &lender, std::uint64_t sequence, const LoanItem &item, TimePoint now);
    [[nodiscard]] bool isIdle(const Workspace &workspace, TimePoint now) const;
    [[nodiscard]] Duration longestPause() const;
    [[nodiscard]] Duration answerTimeout(const NodeName &lender) const;
    [[nodiscard]] bool isAsking(const Workspace &workspace) const;
    [[nodiscard]] bool isLoanOnItsWay(const Workspace &workspace, TimePoint now) const;

    // ---- lender
    [[nodiscard]] QuotaAmount lentToOwners(const Workspace &workspace) const;
    bool takeRequestAllowance(TimePoint now);
    void serveDeferred(Workspace &workspace, TimePoint now);
    LoanItem serve(const BorrowRequest &message, const LoanItem &item, TimePoint now);
    LoanItem serveNode(Workspace &workspace, const BorrowerKey &borrower, const LoanItem &item, TimePoint now);
    LoanItem
    lendTokens(Workspace &workspace, const BorrowerKey &borrower, const LoanItem &item, bool scarce, TimePoint now);
    LoanItem serveOwner(Workspace &workspace, const BorrowerKey &borrower, const LoanItem &item, TimePoint now);
    LoanItem lend(Workspace &workspace,
                  const BorrowerKey &borrower,
                  const QuotaAmount &amount,
                  std::int64_t tokens,
                  Duration term,
                  TimePoint now);
    [[nodiscard]] TimePoint lenderEnd(TimePoint now, Duration term) const;

    IClock &m_clock;
    IMessageSender &m_sender;
    IQuotaListener &m_listener;
    NodeName m_self;
    Endpoint m_endpoint;
    std::uint64_t m_incarnation;
    QuotaSettings m_settings;
    bool m_configured = false;
    TimePoint m_lastRun;
    TimePoint m_shareHeldUntil;
    Owners m_owners;
    std::map<WorkspaceName, Workspace> m_workspaces;
    std::uint64_t m_nextSequence;
    std::uint64_t m_nextLoan;
    int m_renewalPercent; ///< Of the term left; random, so that nodes that started together do not renew together.
    std::int64_t m_requestAllowance;
    TimePoint m_allowanceAt;
};

/// Sequences and loan ids carry the incarnation above this many bits of a counter.
inline constexpr int IncarnationShift = 20;

} // namespace vanillatack
