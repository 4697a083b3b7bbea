#include "quota/internal/quotaservice.h"

#include <algorithm>

namespace vanillatack {

namespace {

// Several times the round trip inside a zone and between zones.
constexpr std::chrono::milliseconds OwnZoneAnswerTimeout{60};
constexpr std::chrono::milliseconds OtherZoneAnswerTimeout{400};

constexpr std::chrono::milliseconds MinBackoff{10};
constexpr std::chrono::milliseconds MaxBackoff{640};
// The backoff limit grows with the number of owners, which bounds the rate of requests of an owner to all others.
constexpr std::chrono::milliseconds MaxBackoffPerOwner{40};
// Up to this backoff a loan is still expected (isLoanExpected()), because the lender is probably borrowing from other
// owners.
constexpr std::chrono::milliseconds ShortBackoff{20};

// Below this rate of demand, tokens are requested only when a request waits for one.
constexpr std::int64_t MinPrefetchRate = TokensPerRequest;

// More tokens are requested when the bucket holds fewer than are needed for this time (two ticks).
constexpr std::int64_t LowTokensMilliseconds = 100;

// Keeps a borrow request below 1,200 bytes: an item with a name of 30 characters takes up to 90 bytes.
constexpr std::size_t MaxItemsPerMessage = 12;

// LenderState::sequence while the request waits in a batch.
constexpr std::uint64_t UnsentSequence = UINT64_MAX;

bool isBelow(const QuotaAmount &left, const QuotaAmount &right)
{
    return left.rate < right.rate && left.burst < right.burst;
}

QuotaAmount positive(const QuotaAmount &amount)
{
    return componentMax(amount, QuotaAmount{});
}

} // namespace

void QuotaService::borrow(Workspace &workspace, TimePoint now, Batches &batches)
{
    if (workspace.fleetQuota.rate <= 0 || workspace.fleetQuota.burst < TokensPerRequest) {
        return;
    }
    if (isLender(workspace, now)) {
        borrowAsOwner(workspace, now, batches);
    } else {
        borrowAsNode(workspace, now, batches);
    }
}

bool QuotaService::isIdle(const Workspace &workspace, TimePoint now) const
{
    return now - workspace.demand.lastRequestAt() > workspace.demand.idleTimeout(now);
}

Duration QuotaService::maxBackoff() const
{
    return std::min<Duration>(MaxBackoff, MaxBackoffPerOwner * static_cast<int>(m_owners.count()));
}

void QuotaService::borrowAsNode(Workspace &workspace, TimePoint now, Batches &batches)
{
    const ShareOwner *target = isPooled(workspace) ? m_owners.poolOwner(workspace.name, now) : m_owners.homeOwner(now);
    if (target == nullptr || target->member.node == m_self) {
        return;
    }
    const NodeName lender = target->member.node;
    LoanBook &book = workspace.book;
    const auto held = book.heldLoans().find(lender);
    const bool holds = held != book.heldLoans().end();
    // A loan of tokens without a rate whose tokens are used up.
    const bool spent = holds && held->second.amount.rate == 0 && book.tokens() < TokensPerRequest;
    LenderState &state = workspace.lenderStates[lender];
    if (state.sequence != 0) {
        return;
    }
    if (isIdle(workspace, now)) {
        returnLoan(workspace, lender);
        return;
    }
    const QuotaAmount wanted = ownDemand(workspace, now);
    const bool due = holds && state.renewAt <= now;
    // Scarce tokens that are unused at the renewal time are returned for other nodes.
    const bool returnsUnused = due && state.scarce && held->second.amount.rate == 0 && !spent;
    const bool grown = wanted.rate > state.requestedAmount.rate + state.requestedAmount.rate / 2;
    const bool low = book.tokens() < std::max(TokensPerRequest, scaled(wanted.rate, LowTokensMilliseconds, 1000));
    const bool needed = workspace.waitingUntil > now || (wanted.rate >= MinPrefetchRate && !state.scarce);
    if (needed && !returnsUnused && (due || ((!holds || grown || low) && state.nextRequestAt <= now))) {
        if (spent) {
            // Without a held loan in the request, the lender frees the capacity of the spent loan.
            book.releaseHeldLoan(lender);
        }
        addBorrowRequest(workspace, lender, wanted, now, batches);
    } else if (spent || due) {
        returnLoan(workspace, lender);
    }
}

void QuotaService::borrowAsOwner(Workspace &workspace, TimePoint now, Batches &batches)
{
    const QuotaAmount fleetQuota{workspace.fleetQuota.rate, workspace.fleetQuota.burst};
    QuotaAmount wanted = servedDemand(workspace, now);
    if (isPooled(workspace)) {
        // The demand of a pooled workspace is doubled: it varies more, because it has few requests, and tokens left at
        // the other owners would be unused.
        wanted += wanted;
    }
    wanted = componentMin(wanted, fleetQuota);
    if (wanted.isEmpty() && workspace.book.heldLoans().empty()) {
        return;
    }
    QuotaAmount total = workspace.book.ownShare() - lentToOwners(workspace);
    for (const auto &[lender, loan] : workspace.book.heldLoans()) {
        total += loan.lendable;
    }
    QuotaAmount missing = wanted - total;
    if (workspace.book.tokens() < wanted.burst / 4) {
        // This owner's bucket runs out of tokens although its rate suffices on average. Tokens are lent only together
        // with burst, so more burst is requested even if the total suffices.
        missing.burst = std::max(missing.burst, wanted.burst / 2);
        missing.rate = std::max(missing.rate, wanted.rate / 8);
    }
    // Small differences are ignored, because the estimated demand fluctuates.
    const std::int64_t minDifference = isPooled(workspace) ? 0 : 2 * TokensPerRequest;
    if (missing.rate > std::max(wanted.rate / 16, minDifference)
        || missing.burst > std::max(wanted.burst / 16, minDifference)) {
        borrowFromOtherOwners(workspace, positive(missing), now, batches);
    }
    renewAsOwner(workspace,
                 positive(total - QuotaAmount{wanted.rate + wanted.rate / 4, wanted.burst + wanted.burst / 4}),
                 now,
                 batches);
}

/// Requests the missing amount from other owners, from each at most one more average share at a time.
void QuotaService::borrowFromOtherOwners(Workspace &workspace, QuotaAmount missing, TimePoint now, Batches &batches)
{
    const auto owners = static_cast<std::int64_t>(m_owners.count());
    const QuotaAmount share{workspace.fleetQuota.rate / owners + 1, workspace.fleetQuota.burst / owners + 1};
    // With zone weights, a share may be several times the average.
    const QuotaAmount maxAmount{4 * share.rate, 4 * share.burst};
    std::vector<const ShareOwner *> lenders = m_owners.lenders(workspace.name, now);
    // Owners that already lend most of an average share have more only with zone weights, so they come last.
    std::stable_partition(lenders.begin(), lenders.end(), [&](const ShareOwner *lender) {
        const auto held = workspace.book.heldLoans().find(lender->member.node);
        return held == workspace.book.heldLoans().end()
            || isBelow(held->second.amount, {share.rate / 2, share.burst / 2});
    });
    for (const ShareOwner *lender : lenders) {
        if (missing.isEmpty()) {
            return;
        }
        const NodeName &name = lender->member.node;
        const LenderState &state = workspace.lenderStates[name];
        if (state.sequence != 0 || state.nextRequestAt > now) {
            continue;
        }
        const auto held = workspace.book.heldLoans().find(name);
        const QuotaAmount amount = held == workspace.book.heldLoans().end() ? QuotaAmount{} : held->second.amount;
        // Whole shares are pooled, because the rate of a share without its burst would be unused.
        const QuotaAmount requestSize = isPooled(workspace) ? share : missing;
        const QuotaAmount extra = positive(componentMin(componentMin(requestSize, share), maxAmount - amount));
        if (!extra.isEmpty()) {
            addBorrowRequest(workspace, name, amount + extra, now, batches);
            missing = positive(missing - extra);
        }
    }
}

void QuotaService::renewAsOwner(Workspace &workspace, QuotaAmount surplus, TimePoint now, Batches &batches)
{
    const auto owners = static_cast<std::int64_t>(m_owners.count());
    const QuotaAmount negligible{workspace.fleetQuota.rate / owners / 16 + 1,
                                 workspace.fleetQuota.burst / owners / 16 + 1};
    std::vector<NodeName> due;
    for (const auto &[lender, loan] : workspace.book.heldLoans()) {
        const LenderState &state = workspace.lenderStates[lender];
        const bool superfluous =
            !surplus.isEmpty() && loan.amount.rate <= surplus.rate && loan.amount.burst <= surplus.burst;
        if (state.sequence == 0 && (state.renewAt <= now || superfluous)) {
            due.push_back(lender);
        }
    }
    for (const NodeName &lender : due) {
        const QuotaAmount amount = workspace.book.heldLoans().at(lender).amount;
        const bool whole = isPooled(workspace) && (surplus.rate < amount.rate || surplus.burst < amount.burst);
        const QuotaAmount cut = whole ? QuotaAmount{} : componentMin(amount, surplus);
        const QuotaAmount remaining = amount - cut;
        surplus -= cut;
        if (isBelow(remaining, negligible)) {
            returnLoan(workspace, lender);
        } else {
            addBorrowRequest(workspace, lender, remaining, now, batches);
        }
    }
}

/// Adds renewals that are due soon to the batches of this tick, which aligns their terms and saves messages.
void QuotaService::renewEarly(TimePoint now, Batches &batches)
{
    if (batches.empty()) {
        return;
    }
    for (auto &[name, workspace] : m_workspaces) {
        const bool lends = isLender(workspace, now);
        std::vector<std::pair<NodeName, QuotaAmount>> soon;
        for (const auto &[lender, loan] : workspace.book.heldLoans()) {
            const LenderState &state = workspace.lenderStates[lender];
            if (batches.contains(lender) && state.sequence == 0 && state.renewAt - now < m_settings.maxLoanTerm / 3) {
                soon.emplace_back(lender, lends ? loan.amount : ownDemand(workspace, now));
            }
        }
        for (const auto &[lender, amount] : soon) {
            if (!amount.isEmpty() && (lends || !isIdle(workspace, now))) {
                addBorrowRequest(workspace, lender, amount, now, batches);
            }
        }
    }
}

Duration QuotaService::answerTimeout(const NodeName &lender) const
{
    const ShareOwner *owner = m_owners.find(lender);
    return owner != nullptr && owner->sameZone ? OwnZoneAnswerTimeout : OtherZoneAnswerTimeout;
}

void QuotaService::expireRequests(Workspace &workspace, TimePoint now)
{
    for (auto &[lender, state] : workspace.lenderStates) {
        if (state.sequence != 0 && now - state.sentAt > answerTimeout(lender)) {
            m_owners.recordTimeout(lender, state.sequence, now);
            state.sequence = 0;
        }
    }
}

bool QuotaService::hasOutstandingRequest(const Workspace &workspace) const
{
    return std::any_of(workspace.lenderStates.begin(), workspace.lenderStates.end(), [](const auto &entry) {
        return entry.second.sequence != 0;
    });
}

bool QuotaService::isLoanExpected(const Workspace &workspace, TimePoint now) const
{
    for (const auto &[lender, state] : workspace.lenderStates) {
        if (state.sequence != 0 || (state.nextRequestAt > now && state.backoff <= ShortBackoff)) {
            return true;
        }
    }
    return false;
}

void QuotaService::addBorrowRequest(Workspace &workspace,
                                    const NodeName &lender,
                                    const QuotaAmount &amount,
                                    TimePoint now,
                                    Batches &batches)
{
    LenderState &state = workspace.lenderStates[lender];
    if (state.sequence != 0 || m_owners.find(lender) == nullptr) {
        return;
    }
    const auto held = workspace.book.heldLoans().find(lender);
    const LoanId loan = held == workspace.book.heldLoans().end() ? LoanId{} : held->second.loan;
    const bool lends = isLender(workspace, now);
    const std::int64_t tokens = lends ? amount.burst : amount.burst * 3 / 4 - workspace.book.tokens();
    const std::int64_t minTokens = workspace.book.tokens() < TokensPerRequest ? TokensPerRequest : 0;
    state.sequence = UnsentSequence;
    state.sentAt = now;
    state.requestedAmount = amount;
    batches[lender].push_back(
        {workspace.name, amount.rate, amount.burst, std::max(minTokens, tokens), loan, Duration{0}});
}

void QuotaService::sendBatches(Batches &batches, TimePoint now)
{
    for (const auto &[name, items] : batches) {
        const ShareOwner *lender = m_owners.find(name);
        for (std::size_t begin = 0; begin < items.size(); begin += MaxItemsPerMessage) {
            const std::size_t end = std::min(items.size(), begin + MaxItemsPerMessage);
            const LoanItem &first = items[begin];
            BorrowRequest request;
            request.sender = m_self;
            request.replyTo = m_endpoint;
            request.sequence = m_nextSequence++;
            request.workspace = first.workspace;
            request.rate = first.rate;
            request.burst = first.burst;
            request.tokens = first.tokens;
            request.held = first.loan;
            request.more.assign(items.begin() + static_cast<std::ptrdiff_t>(begin) + 1,
                                items.begin() + static_cast<std::ptrdiff_t>(end));
            for (std::size_t index = begin; index < end; ++index) {
                LenderState &state = m_workspaces.at(items[index].workspace).lenderStates[name];
                state.sequence = request.sequence;
                state.sentAt = now;
            }
            m_sender.send(lender->member.endpoint, request);
        }
    }
    batches.clear();
}

void QuotaService::acceptItem(const NodeName &lender, std::uint64_t sequence, const LoanItem &item, TimePoint now)
{
    const auto found = m_workspaces.find(item.workspace);
    if (found == m_workspaces.end()) {
        return;
    }
    Workspace &workspace = found->second;
    const auto entry = workspace.lenderStates.find(lender);
    if (entry == workspace.lenderStates.end() || entry->second.sequence != sequence || sequence == 0) {
        return;
    }
    advance(workspace, now);
    LenderState &state = entry->second;
    state.sequence = 0;
    const QuotaAmount amount{item.rate, item.burst};
    const TimePoint expiry = state.sentAt + item.term;
    state.scarce = item.loan.value == 0 || (amount.rate == 0 && amount.burst <= TokensPerRequest);
    bool sufficient = false;
    if (item.loan.value != 0 && workspace.book.acceptLoan(lender, {item.loan, amount, amount, expiry}, item.tokens)) {
        state.renewAt = now + (expiry - now) * m_renewalPercent / 100;
        const QuotaAmount threeQuarters{state.requestedAmount.rate - state.requestedAmount.rate / 4,
                                        state.requestedAmount.burst - state.requestedAmount.burst / 4};
        sufficient = amount.rate >= threeQuarters.rate && amount.burst >= threeQuarters.burst;
        sufficient = sufficient || (!isLender(workspace, now) && workspace.book.tokens() >= TokensPerRequest);
    }
    state.backoff =
        sufficient ? Duration(MinBackoff) : std::clamp<Duration>(state.backoff * 2, MinBackoff, maxBackoff());
    state.nextRequestAt = now + state.backoff;
    answerDeferredRequests(workspace, now);
    notifyListener(workspace, now);
}

void QuotaService::returnLoan(Workspace &workspace, const NodeName &lender)
{
    const auto held = workspace.book.heldLoans().find(lender);
    if (held == workspace.book.heldLoans().end()) {
        return;
    }
    const LoanId loan = held->second.loan;
    const std::optional<std::int64_t> tokens = workspace.book.releaseHeldLoan(lender);
    const ShareOwner *owner = m_owners.find(lender);
    if (!tokens.has_value() || owner == nullptr) {
        return;
    }
    // A grant still in flight must not be accepted, because the lender may assume that it is unused.
    workspace.lenderStates[lender].sequence = 0;
    m_sender.send(
        owner->member.endpoint,
        LoanReturn{
            .sender = m_self, .loan = loan, .lenderIncarnation = loan.value >> IncarnationShift, .tokens = *tokens});
}

} // namespace vanillatack
