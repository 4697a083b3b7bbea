#include "quota/internal/quotaservice.h"

#include <algorithm>

namespace vanillatack {

namespace {

// A request that is not answered within this is given up; several times the round trip inside and between zones.
constexpr std::chrono::milliseconds OwnZoneAnswerTimeout{60};
constexpr std::chrono::milliseconds OtherZoneAnswerTimeout{400};

constexpr std::chrono::milliseconds ShortestPause{10};
constexpr std::chrono::milliseconds LongestPause{640};
// The pause grows with the number of owners, which bounds the requests per second of an owner to all others.
constexpr std::chrono::milliseconds LongestPausePerOwner{40};
// While the pause is this short, the lender is probably still collecting from other owners.
constexpr std::chrono::milliseconds HopefulPause{20};

// Below this wanted rate, tokens are asked for only when a request waits for one.
constexpr std::int64_t PrefetchFrom = TokensPerRequest;

// Tokens for this long, two ticks, are kept in stock; below, more are asked for.
constexpr std::int64_t StockMilliseconds = 100;

// Keeps a request below 1,200 bytes: an item takes up to 90 bytes with a name of 30 characters.
constexpr std::size_t ItemsPerMessage = 12;

constexpr std::uint64_t UnsentSequence = UINT64_MAX;

bool isBelow(const QuotaAmount &left, const QuotaAmount &right)
{
    return left.rate < right.rate && left.burst < right.burst;
}

QuotaAmount positive(const QuotaAmount &amount)
{
    return higherOf(amount, QuotaAmount{});
}

} // namespace

void QuotaService::borrow(Workspace &workspace, TimePoint now, Batches &batches)
{
    if (workspace.fleet.rate <= 0 || workspace.fleet.burst < TokensPerRequest) {
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
    return now - workspace.demand.countedAt() > workspace.demand.idleLimit(now);
}

Duration QuotaService::longestPause() const
{
    return std::min<Duration>(LongestPause, LongestPausePerOwner * static_cast<int>(m_owners.count()));
}

void QuotaService::borrowAsNode(Workspace &workspace, TimePoint now, Batches &batches)
{
    const Owner *target = isPooled(workspace) ? m_owners.collector(workspace.name, now) : m_owners.home(now);
    if (target == nullptr || target->member.node == m_self) {
        return;
    }
    const NodeName lender = target->member.node;
    LoanBook &book = workspace.book;
    const auto held = book.heldLoans().find(lender);
    const bool holds = held != book.heldLoans().end();
    const bool spent = holds && held->second.amount.rate == 0 && book.tokens() < TokensPerRequest;
    Ask &ask = workspace.asks[lender];
    if (ask.sequence != 0) {
        return;
    }
    if (isIdle(workspace, now)) {
        returnLoan(workspace, lender);
        return;
    }
    const QuotaAmount want = ownWant(workspace, now);
    const bool due = holds && ask.renewAt <= now;
    // Scarce tokens that nobody took until then serve other nodes better.
    const bool unspent = due && ask.scarce && held->second.amount.rate == 0 && !spent;
    const bool grown = want.rate > ask.amount.rate + ask.amount.rate / 2;
    const bool low = book.tokens() < std::max(TokensPerRequest, scaled(want.rate, StockMilliseconds, 1000));
    const bool needed = workspace.waitingUntil > now || (want.rate >= PrefetchFrom && !ask.scarce);
    if (needed && !unspent && (due || ((!holds || grown || low) && ask.notBefore <= now))) {
        if (spent) {
            // The request says that no loan is held, which gives the lender its capacity back.
            book.giveUp(lender);
        }
        addAsk(workspace, lender, want, now, batches);
    } else if (spent || due) {
        returnLoan(workspace, lender);
    }
}

void QuotaService::borrowAsOwner(Workspace &workspace, TimePoint now, Batches &batches)
{
    const QuotaAmount fleet{workspace.fleet.rate, workspace.fleet.burst};
    QuotaAmount want = nodesWant(workspace, now);
    if (isPooled(workspace)) {
        // Small numbers vary more, and the tokens of shares that stay with their owners serve nobody.
        want += want;
    }
    want = lowerOf(want, fleet);
    if (want.none() && workspace.book.heldLoans().empty()) {
        return;
    }
    QuotaAmount total = workspace.book.own() - lentToOwners(workspace);
    for (const auto &[lender, loan] : workspace.book.heldLoans()) {
        total += loan.lendable;
    }
    QuotaAmount missing = want - total;
    if (workspace.book.tokens() < want.burst / 4) {
        // The pool runs dry although its rate suffices on average. Tokens come with burst only.
        missing.burst = std::max(missing.burst, want.burst / 2);
        missing.rate = std::max(missing.rate, want.rate / 8);
    }
    // Small differences are left alone, since the estimate of the demand moves all the time.
    const std::int64_t least = isPooled(workspace) ? 0 : 2 * TokensPerRequest;
    if (missing.rate > std::max(want.rate / 16, least) || missing.burst > std::max(want.burst / 16, least)) {
        collect(workspace, positive(missing), now, batches);
    }
    renewAsOwner(
        workspace, positive(total - QuotaAmount{want.rate + want.rate / 4, want.burst + want.burst / 4}), now, batches);
}

/// Asks as many other owners as may have the missing amount, each for at most one share more at a time.
void QuotaService::collect(Workspace &workspace, QuotaAmount missing, TimePoint now, Batches &batches)
{
    const auto owners = static_cast<std::int64_t>(m_owners.count());
    const QuotaAmount share{workspace.fleet.rate / owners + 1, workspace.fleet.burst / owners + 1};
    // A share may be several times the average where zones are weighted.
    const QuotaAmount most{4 * share.rate, 4 * share.burst};
    std::vector<const Owner *> lenders = m_owners.lenders(workspace.name, now);
    // Owners that lend a share already have more only where zones are weighted.
    std::stable_partition(lenders.begin(), lenders.end(), [&](const Owner *lender) {
        const auto held = workspace.book.heldLoans().find(lender->member.node);
        return held == workspace.book.heldLoans().end()
            || isBelow(held->second.amount, {share.rate / 2, share.burst / 2});
    });
    for (const Owner *lender : lenders) {
        if (missing.none()) {
            return;
        }
        const NodeName &name = lender->member.node;
        const Ask &ask = workspace.asks[name];
        if (ask.sequence != 0 || ask.notBefore > now) {
            continue;
        }
        const auto held = workspace.book.heldLoans().find(name);
        const QuotaAmount amount = held == workspace.book.heldLoans().end() ? QuotaAmount{} : held->second.amount;
        // Shares are pooled whole, because the rate of a share without its burst would be lost.
        const QuotaAmount useful = isPooled(workspace) ? share : missing;
        const QuotaAmount extra = positive(lowerOf(lowerOf(useful, share), most - amount));
        if (!extra.none()) {
            addAsk(workspace, name, amount + extra, now, batches);
            missing = positive(missing - extra);
        }
    }
}

void QuotaService::renewAsOwner(Workspace &workspace, QuotaAmount surplus, TimePoint now, Batches &batches)
{
    const auto owners = static_cast<std::int64_t>(m_owners.count());
    const QuotaAmount negligible{workspace.fleet.rate / owners / 16 + 1, workspace.fleet.burst / owners / 16 + 1};
    std::vector<NodeName> due;
    for (const auto &[lender, loan] : workspace.book.heldLoans()) {
        const Ask &ask = workspace.asks[lender];
        const bool superfluous =
            !surplus.none() && loan.amount.rate <= surplus.rate && loan.amount.burst <= surplus.burst;
        if (ask.sequence == 0 && (ask.renewAt <= now || superfluous)) {
            due.push_back(lender);
        }
    }
    for (const NodeName &lender : due) {
        const QuotaAmount amount = workspace.book.heldLoans().at(lender).amount;
        const bool whole = isPooled(workspace) && (surplus.rate < amount.rate || surplus.burst < amount.burst);
        const QuotaAmount cut = whole ? QuotaAmount{} : lowerOf(amount, surplus);
        const QuotaAmount left = amount - cut;
        surplus -= cut;
        if (isBelow(left, negligible)) {
            returnLoan(workspace, lender);
        } else {
            addAsk(workspace, lender, left, now, batches);
        }
    }
}

/// Renews loans that are due soon together with those that are due now, which aligns their terms and saves messages.
void QuotaService::renewAlongside(TimePoint now, Batches &batches)
{
    if (batches.empty()) {
        return;
    }
    for (auto &[name, workspace] : m_workspaces) {
        const bool lends = isLender(workspace, now);
        std::vector<std::pair<NodeName, QuotaAmount>> soon;
        for (const auto &[lender, loan] : workspace.book.heldLoans()) {
            const Ask &ask = workspace.asks[lender];
            if (batches.contains(lender) && ask.sequence == 0 && ask.renewAt - now < m_settings.term / 3) {
                soon.emplace_back(lender, lends ? loan.amount : ownWant(workspace, now));
            }
        }
        for (const auto &[lender, amount] : soon) {
            if (!amount.none() && (lends || !isIdle(workspace, now))) {
                addAsk(workspace, lender, amount, now, batches);
            }
        }
    }
}

Duration QuotaService::answerTimeout(const NodeName &lender) const
{
    const Owner *owner = m_owners.find(lender);
    return owner != nullptr && owner->ownZone ? OwnZoneAnswerTimeout : OtherZoneAnswerTimeout;
}

void QuotaService::noteTimeouts(Workspace &workspace, TimePoint now)
{
    for (auto &[lender, ask] : workspace.asks) {
        if (ask.sequence != 0 && now - ask.sentAt > answerTimeout(lender)) {
            m_owners.noteTimeout(lender, ask.sequence, now);
            ask.sequence = 0;
        }
    }
}

bool QuotaService::isAsking(const Workspace &workspace) const
{
    return std::any_of(workspace.asks.begin(), workspace.asks.end(), [](const auto &entry) {
        return entry.second.sequence != 0;
    });
}

bool QuotaService::isLoanOnItsWay(const Workspace &workspace, TimePoint now) const
{
    for (const auto &[lender, ask] : workspace.asks) {
        if (ask.sequence != 0 || (ask.notBefore > now && ask.pause <= HopefulPause)) {
            return true;
        }
    }
    return false;
}

void QuotaService::addAsk(Workspace &workspace,
                          const NodeName &lender,
                          const QuotaAmount &amount,
                          TimePoint now,
                          Batches &batches)
{
    Ask &ask = workspace.asks[lender];
    if (ask.sequence != 0 || m_owners.find(lender) == nullptr) {
        return;
    }
    const auto held = workspace.book.heldLoans().find(lender);
    const LoanId loan = held == workspace.book.heldLoans().end() ? LoanId{} : held->second.loan;
    const bool lends = isLender(workspace, now);
    const std::int64_t tokens = lends ? amount.burst : amount.burst * 3 / 4 - workspace.book.tokens();
    const std::int64_t least = workspace.book.tokens() < TokensPerRequest ? TokensPerRequest : 0;
    ask.sequence = UnsentSequence;
    ask.sentAt = now;
    ask.amount = amount;
    batches[lender].push_back({workspace.name, amount.rate, amount.burst, std::max(least, tokens), loan, Duration{0}});
}

void QuotaService::sendBatches(Batches &batches, TimePoint now)
{
    for (const auto &[name, items] : batches) {
        const Owner *lender = m_owners.find(name);
        for (std::size_t begin = 0; begin < items.size(); begin += ItemsPerMessage) {
            const std::size_t end = std::min(items.size(), begin + ItemsPerMessage);
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
                Ask &ask = m_workspaces.at(items[index].workspace).asks[name];
                ask.sequence = request.sequence;
                ask.sentAt = now;
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
    const auto asked = workspace.asks.find(lender);
    if (asked == workspace.asks.end() || asked->second.sequence != sequence || sequence == 0) {
        return;
    }
    advance(workspace, now);
    Ask &ask = asked->second;
    ask.sequence = 0;
    const QuotaAmount amount{item.rate, item.burst};
    const TimePoint expiry = ask.sentAt + item.term;
    ask.scarce = item.loan.value == 0 || (amount.rate == 0 && amount.burst <= TokensPerRequest);
    bool useful = false;
    if (item.loan.value != 0 && workspace.book.accept(lender, {item.loan, amount, amount, expiry}, item.tokens)) {
        ask.renewAt = now + (expiry - now) * m_renewalPercent / 100;
        const QuotaAmount mostOfAsked{ask.amount.rate - ask.amount.rate / 4, ask.amount.burst - ask.amount.burst / 4};
        useful = amount.rate >= mostOfAsked.rate && amount.burst >= mostOfAsked.burst;
        useful = useful || (!isLender(workspace, now) && workspace.book.tokens() >= TokensPerRequest);
    }
    ask.pause = useful ? Duration(ShortestPause) : std::clamp<Duration>(ask.pause * 2, ShortestPause, longestPause());
    ask.notBefore = now + ask.pause;
    serveDeferred(workspace, now);
    notifyWaiting(workspace, now);
}

void QuotaService::returnLoan(Workspace &workspace, const NodeName &lender)
{
    const auto held = workspace.book.heldLoans().find(lender);
    if (held == workspace.book.heldLoans().end()) {
        return;
    }
    const LoanId loan = held->second.loan;
    const std::optional<std::int64_t> tokens = workspace.book.giveUp(lender);
    const Owner *owner = m_owners.find(lender);
    if (!tokens.has_value() || owner == nullptr) {
        return;
    }
    // A grant that is still on its way must not be used, since the lender may not know that it is.
    workspace.asks[lender].sequence = 0;
    m_sender.send(
        owner->member.endpoint,
        LoanReturn{
            .sender = m_self, .loan = loan, .lenderIncarnation = loan.value >> IncarnationShift, .tokens = *tokens});
}

} // namespace vanillatack
