#include "quota/internal/quotaservice.h"

#include "base/log.h"

#include <utility>

namespace vanillatack {

namespace {

constexpr Log QuotaLog("quota");

// Longest term of a loan of tokens while the burst is too small for a bucket at each node. Longer than the round trip
// between regions, because the borrower counts the term from when it sent its request.
constexpr std::chrono::milliseconds ScarceLoanTerm{400};

// Borrowers that request a lower rate get tokens without a rate. The rate then refills the lender's bucket, which all
// borrowers can use, instead of buckets that are mostly full.
constexpr std::int64_t MinRateForRateLoan = 12 * TokensPerRequest;
// A burst below this is too small for each node to hold several tokens.
constexpr std::int64_t ScarceBurst = 20 * TokensPerRequest;
// Minimum when the quota clearly exceeds the demand: a loan of a rate lasts for a whole term, which saves messages.
constexpr std::int64_t MinRateForRateLoanWhenPlenty = TokensPerRequest;

// While loans from other owners are outstanding, a request that cannot be granted is answered after this delay. Must be
// below OwnZoneAnswerTimeout (quotaborrowing.cpp).
constexpr std::chrono::milliseconds DeferredAnswerDelay{30};

// Terms to try, in percent of the longest. Shorter terms can end before the expiry of loans that the lender holds.
constexpr int TermPercents[] = {100, 70, 45, 25};

/// Subtracts a reserve for nodes whose demand starts between the renewals of others.
QuotaAmount lendableToNodes(const QuotaAmount &total)
{
    QuotaAmount result{total.rate - total.rate / 32, total.burst - total.burst / 16};
    if (total.burst >= 3 * TokensPerRequest) {
        result.burst = std::min(result.burst, total.burst - TokensPerRequest);
    }
    return result;
}

BorrowGrant makeGrant(const NodeName &self, std::uint64_t sequence, const std::vector<LoanItem> &items)
{
    const LoanItem &first = items.front();
    return {.sender = self,
            .sequence = sequence,
            .loan = first.loan,
            .workspace = first.workspace,
            .rate = first.rate,
            .burst = first.burst,
            .tokens = first.tokens,
            .term = first.term,
            .more = {items.begin() + 1, items.end()}};
}

LoanItem emptyGrant(const WorkspaceName &workspace)
{
    LoanItem item;
    item.workspace = workspace;
    return item;
}

} // namespace

TimePoint QuotaService::lenderExpiry(TimePoint now, Duration term) const
{
    // 0.25% covers a borrower's clock 0.1% slow and a local clock 0.1% fast, together 0.2002%.
    return now + term + term * 25 / 10'000 + m_settings.driftMargin;
}

QuotaAmount QuotaService::lentToOwners(const Workspace &workspace) const
{
    QuotaAmount result;
    for (const auto &[node, demand] : workspace.borrowerDemands) {
        if (demand.fromOwner) {
            result += workspace.book.lentTo({node, demand.incarnation});
        }
    }
    return result;
}

bool QuotaService::allowBorrowRequest(TimePoint now)
{
    const Duration passed = now - m_borrowRequestsUpdatedAt;
    const std::int64_t gained = passed.count() * m_settings.maxBorrowRequestsPerSecond / 1'000'000'000;
    if (gained > 0) {
        m_borrowRequestsLeft =
            std::min<std::int64_t>(m_settings.maxBorrowRequestsPerSecond, m_borrowRequestsLeft + gained);
        m_borrowRequestsUpdatedAt = now;
    }
    if (m_borrowRequestsLeft <= 0) {
        return false;
    }
    --m_borrowRequestsLeft;
    return true;
}

void QuotaService::receive(const Endpoint & /*from*/, const BorrowRequest &message)
{
    const TimePoint now = currentTime();
    if (!allowBorrowRequest(now)) {
        QuotaLog.debug("Dropped a borrow request: this node received more per second than maxBorrowRequestsPerSecond.",
                       {{"sender", message.sender.value}});
        return;
    }
    std::vector<LoanItem> items{
        {message.workspace, message.rate, message.burst, message.tokens, message.held, Duration{0}}};
    items.insert(items.end(), message.more.begin(), message.more.end());
    std::vector<LoanItem> grants;
    for (const LoanItem &item : items) {
        LoanItem grant = handleRequestItem(message, item, now);
        if (grant.workspace.empty()) {
            continue;
        }
        Workspace &workspace = m_workspaces.at(item.workspace);
        if (grant.loan.value == 0 && isPooled(workspace) && isLender(workspace, now)
            && hasOutstandingRequest(workspace)) {
            workspace.deferredRequests.push_back(
                {message.replyTo, message.sender, message.sequence, item, now + DeferredAnswerDelay});
        } else {
            grants.push_back(std::move(grant));
        }
    }
    if (!grants.empty()) {
        m_sender.send(message.replyTo, makeGrant(m_self, message.sequence, grants));
    }
}

/// Answers the deferred requests that can be granted now, have reached their time limit or have no loan to wait for.
void QuotaService::answerDeferredRequests(Workspace &workspace, TimePoint now)
{
    std::vector<DeferredRequest> left;
    for (DeferredRequest &request : std::exchange(workspace.deferredRequests, {})) {
        const BorrowerKey borrower{request.sender, request.sequence >> IncarnationShift};
        const LoanItem grant = lendToNode(workspace, borrower, request.item, now);
        if (grant.loan.value == 0 && now < request.until && hasOutstandingRequest(workspace)) {
            left.push_back(std::move(request));
        } else {
            m_sender.send(request.replyTo, makeGrant(m_self, request.sequence, {grant}));
        }
    }
    workspace.deferredRequests = std::move(left);
}

/// Returns the grant for one workspace of a request. Its workspace name is empty for an outdated or invalid request and
/// for an unknown workspace.
LoanItem QuotaService::handleRequestItem(const BorrowRequest &message, const LoanItem &item, TimePoint now)
{
    const auto found = m_workspaces.find(item.workspace);
    if (found == m_workspaces.end() || item.rate < 0 || item.burst < 0 || item.tokens < 0 || message.sender == m_self) {
        return {};
    }
    Workspace &workspace = found->second;
    advance(workspace, now);
    const BorrowerKey borrower{message.sender, message.sequence >> IncarnationShift};
    if (!workspace.book.registerRequest(borrower, message.sequence, item.loan)) {
        return {};
    }
    std::erase_if(workspace.deferredRequests, [&](const DeferredRequest &request) {
        return request.sender == message.sender;
    });
    const bool poolsShares = isPooled(workspace) && isLender(workspace, now);
    const bool fromOwner = m_owners.isOwner(message.sender) && !poolsShares;
    workspace.borrowerDemands[message.sender] = {{item.rate, item.burst}, borrower.incarnation, fromOwner, now};
    LoanItem grant =
        fromOwner ? lendToOwner(workspace, borrower, item, now) : lendToNode(workspace, borrower, item, now);
    if (!fromOwner && grant.burst < item.burst) {
        // Borrows from other owners at once instead of at the next tick, because a request may be waiting.
        Batches batches;
        borrow(workspace, now, batches);
        sendBatches(batches, now);
    }
    return grant;
}

/// Nodes share the amount that is not lent to owners, in proportion to their demand when it is insufficient.
LoanItem
QuotaService::lendToNode(Workspace &workspace, const BorrowerKey &borrower, const LoanItem &item, TimePoint now)
{
    const QuotaAmount total =
        lendableToNodes(workspace.book.ownShare() + workspace.book.held() - lentToOwners(workspace));
    const QuotaAmount wanted = servedDemand(workspace, now);
    QuotaAmount fair{item.rate, item.burst};
    if (wanted.rate > total.rate) {
        fair.rate = std::max<std::int64_t>(0, scaled(total.rate, item.rate, wanted.rate));
    }
    if (wanted.burst > total.burst) {
        fair.burst = std::max<std::int64_t>(0, scaled(total.burst, item.burst, wanted.burst));
    }
    const bool small = total.burst < ScarceBurst;
    const bool plenty = !small && wanted.rate <= total.rate / 4 * 3 && wanted.burst <= total.burst / 2;
    if (item.rate < (plenty ? MinRateForRateLoanWhenPlenty : MinRateForRateLoan) || fair.burst < TokensPerRequest) {
        const bool scarce = small || fair.burst < TokensPerRequest || workspace.book.tokens() < total.burst / 2;
        return lendTokensOnly(workspace, borrower, item, scarce, now);
    }
    QuotaAmount best;
    Duration bestTerm{0};
    for (const int percent : TermPercents) {
        const Duration term = m_settings.maxLoanTerm * percent / 100;
        const QuotaAmount free = workspace.book.available(borrower, lenderExpiry(now, term));
        const QuotaAmount amount = componentMax(componentMin(fair, free), QuotaAmount{});
        // A shorter term is chosen only for over 10% more rate or burst.
        if (amount.rate > best.rate + best.rate / 10 || amount.burst > best.burst + best.burst / 10) {
            best = amount;
            bestTerm = term;
        }
        if (best.rate >= fair.rate - fair.rate / 10 && best.burst >= fair.burst - fair.burst / 10) {
            break;
        }
    }
    if (best.burst < TokensPerRequest) {
        return lendTokensOnly(workspace, borrower, item, true, now);
    }
    // Borrowers request tokens for three quarters of their buckets; the same is kept for this node's own demand.
    const std::int64_t stock = workspace.book.tokens();
    const std::int64_t spare = std::max(stock / 4, stock - ownDemand(workspace, now).burst * 3 / 4);
    return lend(workspace, borrower, best, std::min(item.tokens, spare), bestTerm, now);
}

/// Lends burst for whole requests without a rate, for one request at a time when the burst is scarce.
LoanItem QuotaService::lendTokensOnly(Workspace &workspace,
                                      const BorrowerKey &borrower,
                                      const LoanItem &item,
                                      bool scarce,
                                      TimePoint now)
{
    const std::int64_t wanted = scarce ? TokensPerRequest : item.burst;
    for (const int percent : TermPercents) {
        const Duration term = std::min<Duration>(m_settings.maxLoanTerm * percent / 100,
                                                 scarce ? ScarceLoanTerm : m_settings.maxLoanTerm);
        const std::int64_t burst = std::min(wanted, workspace.book.available(borrower, lenderExpiry(now, term)).burst);
        const std::int64_t whole = burst - burst % TokensPerRequest;
        const std::int64_t tokens = std::min(std::max(item.tokens, TokensPerRequest), workspace.book.tokens());
        // A loan without tokens helps only a borrower that still has some.
        if (whole > 0 && (tokens >= TokensPerRequest || (item.loan.value != 0 && !scarce))) {
            return lend(workspace, borrower, {0, whole}, tokens, term, now);
        }
    }
    return emptyGrant(workspace.name);
}

/// Lends to other owners from the part of the own share above the demand of this node and the nodes it serves.
LoanItem
QuotaService::lendToOwner(Workspace &workspace, const BorrowerKey &borrower, const LoanItem &item, TimePoint now)
{
    const QuotaAmount own = workspace.book.ownShare();
    const bool lendsToNodes = isLender(workspace, now);
    const QuotaAmount kept = lendsToNodes ? servedDemand(workspace, now) : QuotaAmount{};
    const QuotaAmount spare = componentMax(own - kept, QuotaAmount{});
    QuotaAmount wanted;
    for (const auto &[node, demand] : workspace.borrowerDemands) {
        if (demand.fromOwner) {
            wanted += demand.amount;
        }
    }
    QuotaAmount fair = componentMin({item.rate, item.burst}, spare);
    if (wanted.rate > spare.rate) {
        fair.rate = scaled(spare.rate, item.rate, wanted.rate);
    }
    if (wanted.burst > spare.burst) {
        fair.burst = scaled(spare.burst, item.burst, wanted.burst);
    }
    const QuotaAmount free = workspace.book.available(borrower, lenderExpiry(now, m_settings.maxLoanTerm));
    const QuotaAmount amount = componentMax(componentMin(fair, free), QuotaAmount{});
    if (amount.isEmpty()) {
        return emptyGrant(workspace.name);
    }
    const std::int64_t tokens = scaled(workspace.book.tokens(), amount.burst, own.burst);
    return lend(workspace, borrower, amount, std::min(tokens, item.tokens), m_settings.maxLoanTerm, now);
}

LoanItem QuotaService::lend(Workspace &workspace,
                            const BorrowerKey &borrower,
                            const QuotaAmount &amount,
                            std::int64_t tokens,
                            Duration term,
                            TimePoint now)
{
    LoanItem grant{workspace.name, amount.rate, amount.burst, 0, nextLoanId(), term};
    grant.tokens = workspace.book.grant(borrower, grant.loan, amount, tokens, lenderExpiry(now, term));
    return grant;
}

void QuotaService::receive(const Endpoint & /*from*/, const LoanReturn &message)
{
    const TimePoint now = currentTime();
    if (message.lenderIncarnation != m_incarnation) {
        return;
    }
    for (auto &[name, workspace] : m_workspaces) {
        const auto demand = workspace.borrowerDemands.find(message.sender);
        if (demand == workspace.borrowerDemands.end()) {
            continue;
        }
        advance(workspace, now);
        if (workspace.book.acceptReturn(message.sender, message.loan, message.tokens)) {
            if (demand->second.amount.rate >= MinRateForRateLoan) {
                workspace.borrowerDemands.erase(demand);
            } else {
                // Expires soon but not at once, because a borrower that returns a spent loan requests again.
                demand->second.reportedAt = std::min(demand->second.reportedAt, now - m_settings.maxLoanTerm * 3 / 4);
            }
            notifyListener(workspace, now);
            return;
        }
    }
}

} // namespace vanillatack
