#include "quota/internal/quotaservice.h"

#include "base/log.h"

#include <utility>

namespace vanillatack {

namespace {

constexpr Log QuotaLog("quota");

// Of tokens while the burst does not suffice for a bucket at each node. Longer than the round trip between
// regions, since the borrower counts from before its request.
constexpr std::chrono::milliseconds ScarceTokenTerm{400};

// Below this rate a borrower gets tokens without a rate. The rate then refills the pool, where all borrowers can use
// it, instead of buckets that are mostly full.
constexpr std::int64_t RateLoanFrom = 12 * TokensPerRequest;
// A bucket this small holds too few tokens for several to lie at each node.
constexpr std::int64_t SmallBurst = 20 * TokensPerRequest;
// With plenty for all, a rate saves messages, since its loan lasts for a term.
constexpr std::int64_t RateLoanWhenPlenty = TokensPerRequest;

// A request that cannot be granted is answered this much later when shares are being collected meanwhile; below the
// time after which the borrower gives the request up.
constexpr std::chrono::milliseconds DeferredAnswerTime{30};

// Terms tried in percent of the longest. Shorter ones fit under the ends of loans that this lender holds itself.
constexpr int TermPercents[] = {100, 70, 45, 25};

/// Leaves a reserve for nodes whose demand appears between the renewals of others.
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

LoanItem refusal(const WorkspaceName &workspace)
{
    LoanItem item;
    item.workspace = workspace;
    return item;
}

} // namespace

TimePoint QuotaService::lenderEnd(TimePoint now, Duration term) const
{
    // The borrower's clock may run 0.1% slow and this one 0.1% fast, which makes 0.2002%.
    return now + term + term * 25 / 10'000 + m_settings.driftMargin;
}

QuotaAmount QuotaService::lentToOwners(const Workspace &workspace) const
{
    QuotaAmount result;
    for (const auto &[node, want] : workspace.wants) {
        if (want.fromOwner) {
            result += workspace.book.lentTo({node, want.incarnation});
        }
    }
    return result;
}

bool QuotaService::takeRequestAllowance(TimePoint now)
{
    const Duration passed = now - m_allowanceAt;
    const std::int64_t gained = passed.count() * m_settings.requestsPerSecond / 1'000'000'000;
    if (gained > 0) {
        m_requestAllowance = std::min<std::int64_t>(m_settings.requestsPerSecond, m_requestAllowance + gained);
        m_allowanceAt = now;
    }
    if (m_requestAllowance <= 0) {
        return false;
    }
    --m_requestAllowance;
    return true;
}

void QuotaService::receive(const Endpoint & /*from*/, const BorrowRequest &message)
{
    const TimePoint now = currentTime();
    if (!takeRequestAllowance(now)) {
        QuotaLog.debug("Too many borrow requests, one is dropped.", {{"sender", message.sender.value}});
        return;
    }
    std::vector<LoanItem> items{
        {message.workspace, message.rate, message.burst, message.tokens, message.held, Duration{0}}};
    items.insert(items.end(), message.more.begin(), message.more.end());
    std::vector<LoanItem> grants;
    for (const LoanItem &item : items) {
        LoanItem grant = serve(message, item, now);
        if (grant.workspace.empty()) {
            continue;
        }
        Workspace &workspace = m_workspaces.at(item.workspace);
        if (grant.loan.value == 0 && isPooled(workspace) && isLender(workspace, now) && isAsking(workspace)) {
            workspace.deferred.push_back(
                {message.replyTo, message.sender, message.sequence, item, now + DeferredAnswerTime});
        } else {
            grants.push_back(std::move(grant));
        }
    }
    if (!grants.empty()) {
        m_sender.send(message.replyTo, makeGrant(m_self, message.sequence, grants));
    }
}

/// Answers requests for which shares have arrived, and those that waited long enough.
void QuotaService::serveDeferred(Workspace &workspace, TimePoint now)
{
    std::vector<Deferred> left;
    for (Deferred &request : std::exchange(workspace.deferred, {})) {
        const BorrowerKey borrower{request.sender, request.sequence >> IncarnationShift};
        const LoanItem grant = serveNode(workspace, borrower, request.item, now);
        if (grant.loan.value == 0 && now < request.until && isAsking(workspace)) {
            left.push_back(std::move(request));
        } else {
            m_sender.send(request.replyTo, makeGrant(m_self, request.sequence, {grant}));
        }
    }
    workspace.deferred = std::move(left);
}

/// The grant for one workspace of a request; without a workspace name when the request is old or the workspace unknown.
LoanItem QuotaService::serve(const BorrowRequest &message, const LoanItem &item, TimePoint now)
{
    const auto found = m_workspaces.find(item.workspace);
    if (found == m_workspaces.end() || item.rate < 0 || item.burst < 0 || item.tokens < 0 || message.sender == m_self) {
        return {};
    }
    Workspace &workspace = found->second;
    advance(workspace, now);
    const BorrowerKey borrower{message.sender, message.sequence >> IncarnationShift};
    if (!workspace.book.beginRequest(borrower, message.sequence, item.loan)) {
        return {};
    }
    std::erase_if(workspace.deferred, [&](const Deferred &request) {
        return request.sender == message.sender;
    });
    const bool collects = isPooled(workspace) && isLender(workspace, now);
    const bool fromOwner = m_owners.isOwner(message.sender) && !collects;
    workspace.wants[message.sender] = {{item.rate, item.burst}, borrower.incarnation, fromOwner, now};
    LoanItem grant = fromOwner ? serveOwner(workspace, borrower, item, now) : serveNode(workspace, borrower, item, now);
    if (!fromOwner && grant.burst < item.burst) {
        // Collects from other owners at once instead of at the next tick, since a request may wait.
        Batches batches;
        borrow(workspace, now, batches);
        sendBatches(batches, now);
    }
    return grant;
}

/// Nodes share everything that is not lent to owners, in proportion to their demand when it does not suffice.
LoanItem QuotaService::serveNode(Workspace &workspace, const BorrowerKey &borrower, const LoanItem &item, TimePoint now)
{
    const QuotaAmount total = lendableToNodes(workspace.book.own() + workspace.book.held() - lentToOwners(workspace));
    const QuotaAmount wanted = nodesWant(workspace, now);
    QuotaAmount fair{item.rate, item.burst};
    if (wanted.rate > total.rate) {
        fair.rate = std::max<std::int64_t>(0, scaled(total.rate, item.rate, wanted.rate));
    }
    if (wanted.burst > total.burst) {
        fair.burst = std::max<std::int64_t>(0, scaled(total.burst, item.burst, wanted.burst));
    }
    const bool small = total.burst < SmallBurst;
    const bool plenty = !small && wanted.rate <= total.rate / 4 * 3 && wanted.burst <= total.burst / 2;
    if (item.rate < (plenty ? RateLoanWhenPlenty : RateLoanFrom) || fair.burst < TokensPerRequest) {
        const bool scarce = small || fair.burst < TokensPerRequest || workspace.book.tokens() < total.burst / 2;
        return lendTokens(workspace, borrower, item, scarce, now);
    }
    QuotaAmount best;
    Duration bestTerm{0};
    for (const int percent : TermPercents) {
        const Duration term = m_settings.term * percent / 100;
        const QuotaAmount free = workspace.book.available(borrower, lenderEnd(now, term));
        const QuotaAmount amount = higherOf(lowerOf(fair, free), QuotaAmount{});
        // A longer term is worth 10% of the amount.
        if (amount.rate > best.rate + best.rate / 10 || amount.burst > best.burst + best.burst / 10) {
            best = amount;
            bestTerm = term;
        }
        if (best.rate >= fair.rate - fair.rate / 10 && best.burst >= fair.burst - fair.burst / 10) {
            break;
        }
    }
    if (best.burst < TokensPerRequest) {
        return lendTokens(workspace, borrower, item, true, now);
    }
    // Borrowers fill their buckets to three quarters; this node's own demand gets as much.
    const std::int64_t stock = workspace.book.tokens();
    const std::int64_t spare = std::max(stock / 4, stock - ownWant(workspace, now).burst * 3 / 4);
    return lend(workspace, borrower, best, std::min(item.tokens, spare), bestTerm, now);
}

/// Lends whole requests without a rate, one at a time when the burst is scarce.
LoanItem QuotaService::lendTokens(Workspace &workspace,
                                  const BorrowerKey &borrower,
                                  const LoanItem &item,
                                  bool scarce,
                                  TimePoint now)
{
    const std::int64_t wanted = scarce ? TokensPerRequest : item.burst;
    for (const int percent : TermPercents) {
        const Duration term =
            std::min<Duration>(m_settings.term * percent / 100, scarce ? ScarceTokenTerm : m_settings.term);
        const std::int64_t burst = std::min(wanted, workspace.book.available(borrower, lenderEnd(now, term)).burst);
        const std::int64_t whole = burst - burst % TokensPerRequest;
        const std::int64_t tokens = std::min(std::max(item.tokens, TokensPerRequest), workspace.book.tokens());
        // Without a token the loan helps only a borrower that still has some.
        if (whole > 0 && (tokens >= TokensPerRequest || (item.loan.value != 0 && !scarce))) {
            return lend(workspace, borrower, {0, whole}, tokens, term, now);
        }
    }
    return refusal(workspace.name);
}

/// Other owners get what the own share has above the demand of this node and the nodes it serves.
LoanItem
QuotaService::serveOwner(Workspace &workspace, const BorrowerKey &borrower, const LoanItem &item, TimePoint now)
{
    const QuotaAmount own = workspace.book.own();
    const bool lendsToNodes = isLender(workspace, now);
    const QuotaAmount kept = lendsToNodes ? nodesWant(workspace, now) : QuotaAmount{};
    const QuotaAmount spare = higherOf(own - kept, QuotaAmount{});
    QuotaAmount wanted;
    for (const auto &[node, want] : workspace.wants) {
        if (want.fromOwner) {
            wanted += want.amount;
        }
    }
    QuotaAmount fair = lowerOf({item.rate, item.burst}, spare);
    if (wanted.rate > spare.rate) {
        fair.rate = scaled(spare.rate, item.rate, wanted.rate);
    }
    if (wanted.burst > spare.burst) {
        fair.burst = scaled(spare.burst, item.burst, wanted.burst);
    }
    const QuotaAmount free = workspace.book.available(borrower, lenderEnd(now, m_settings.term));
    const QuotaAmount amount = higherOf(lowerOf(fair, free), QuotaAmount{});
    if (amount.none()) {
        return refusal(workspace.name);
    }
    const std::int64_t tokens = scaled(workspace.book.tokens(), amount.burst, own.burst);
    return lend(workspace, borrower, amount, std::min(tokens, item.tokens), m_settings.term, now);
}

LoanItem QuotaService::lend(Workspace &workspace,
                            const BorrowerKey &borrower,
                            const QuotaAmount &amount,
                            std::int64_t tokens,
                            Duration term,
                            TimePoint now)
{
    LoanItem grant{workspace.name, amount.rate, amount.burst, 0, newLoan(), term};
    grant.tokens = workspace.book.grant(borrower, grant.loan, amount, tokens, lenderEnd(now, term));
    return grant;
}

void QuotaService::receive(const Endpoint & /*from*/, const LoanReturn &message)
{
    const TimePoint now = currentTime();
    if (message.lenderIncarnation != m_incarnation) {
        return;
    }
    for (auto &[name, workspace] : m_workspaces) {
        const auto want = workspace.wants.find(message.sender);
        if (want == workspace.wants.end()) {
            continue;
        }
        advance(workspace, now);
        if (workspace.book.takeBack(message.sender, message.loan, message.tokens)) {
            if (want->second.amount.rate >= RateLoanFrom) {
                workspace.wants.erase(want);
            } else {
                // Forgotten soon, but not at once: a borrower that returns spent tokens asks again.
                want->second.at = std::min(want->second.at, now - m_settings.term * 3 / 4);
            }
            notifyWaiting(workspace, now);
            return;
        }
    }
}

} // namespace vanillatack
