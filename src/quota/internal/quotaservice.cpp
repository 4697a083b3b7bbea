#include "quota/internal/quotaservice.h"

#include "base/invariant.h"
#include "base/log.h"

namespace vanillatack {

namespace {

constexpr Log QuotaLog("quota");

// An owner whose share of the burst is below this pools it with the shares of the others.
constexpr std::int64_t PoolBelowTokens = 2 * TokensPerRequest;

} // namespace

QuotaService::QuotaService(IClock &clock,
                           IRandom &random,
                           IMessageSender &sender,
                           IQuotaListener &listener,
                           const NodeName &self,
                           const Endpoint &endpoint,
                           std::uint64_t incarnation,
                           const QuotaSettings &settings)
    : m_clock(clock)
    , m_sender(sender)
    , m_listener(listener)
    , m_self(self)
    , m_endpoint(endpoint)
    , m_incarnation(incarnation)
    , m_settings(settings)
    , m_owners(self)
    , m_nextSequence((incarnation << IncarnationShift) + 1)
    , m_nextLoan((incarnation << IncarnationShift) + 1)
    , m_renewalPercent(45 + static_cast<int>(random.below(15)))
    , m_requestAllowance(settings.requestsPerSecond)
    , m_allowanceAt(clock.now())
{
    VT_INVARIANT(settings.startHold >= lenderEnd(TimePoint{}, settings.term) - TimePoint{},
                 "A started owner must wait until earlier loans have ended.");
}

void QuotaService::configure(const std::map<WorkspaceName, WorkspaceQuota> &quotas, const ShareFraction &share)
{
    const TimePoint now = m_clock.now();
    const TimePoint forceAt = now + (m_configured ? m_settings.raiseDelay : m_settings.startHold);
    m_configured = true;
    for (const auto &[name, quota] : quotas) {
        m_workspaces[name].name = name;
    }
    for (auto &[name, workspace] : m_workspaces) {
        const auto quota = quotas.find(name);
        workspace.fleet = quota == quotas.end() ? WorkspaceQuota{} : quota->second;
        advance(workspace, now);
        workspace.share.learn({scaled(workspace.fleet.rate, share.numerator, share.denominator),
                               scaled(workspace.fleet.burst, share.numerator, share.denominator)},
                              forceAt);
        advance(workspace, now);
    }
    QuotaLog.info("Configuration taken.", {{"workspaces", std::to_string(quotas.size())}});
}

void QuotaService::setOwners(const std::vector<Member> &owners)
{
    m_owners.set(owners);
}

void QuotaService::advance(Workspace &workspace, TimePoint now)
{
    workspace.book.advance(now);
    workspace.book.setOwn(workspace.share.effective(now));
}

bool QuotaService::isPooled(const Workspace &workspace) const
{
    const auto owners = static_cast<std::int64_t>(m_owners.count());
    return owners > 1 && workspace.fleet.burst / owners < PoolBelowTokens;
}

bool QuotaService::isLender(const Workspace &workspace, TimePoint now) const
{
    if (!m_owners.selfIsOwner()) {
        return false;
    }
    return !isPooled(workspace) || m_owners.collector(workspace.name, now)->member.node == m_self;
}

QuotaAmount QuotaService::ownWant(const Workspace &workspace, TimePoint now) const
{
    const QuotaAmount fleet{workspace.fleet.rate, workspace.fleet.burst};
    return lowerOf(workspace.demand.wanted(now), fleet);
}

QuotaAmount QuotaService::nodesWant(const Workspace &workspace, TimePoint now) const
{
    QuotaAmount result = ownWant(workspace, now);
    for (const auto &[node, want] : workspace.wants) {
        if (!want.fromOwner && now - want.at < m_settings.term) {
            result += want.amount;
        }
    }
    return result;
}

LoanId QuotaService::newLoan()
{
    return LoanId{m_nextLoan++};
}

void QuotaService::notifyWaiting(Workspace &workspace)
{
    if (workspace.waiting && workspace.book.tokens() >= TokensPerRequest) {
        workspace.waiting = false;
        m_listener.onTokens(workspace.name);
    }
}

QuotaDecision QuotaService::tryAcquire(const WorkspaceName &name)
{
    const auto found = m_workspaces.find(name);
    if (found == m_workspaces.end() || found->second.fleet.rate <= 0) {
        return {.retryAfter = std::chrono::seconds(1)};
    }
    const TimePoint now = m_clock.now();
    Workspace &workspace = found->second;
    advance(workspace, now);
    workspace.demand.count(now);
    workspace.lastDemand = now;
    QuotaDecision decision;
    decision.admitted = workspace.book.take();
    workspace.waiting = workspace.waiting || !decision.admitted;
    if (workspace.book.tokens() < TokensPerRequest) {
        Batches batches;
        borrow(workspace, now, batches);
        sendBatches(batches, now);
    }
    if (decision.admitted) {
        ++workspace.admitted;
        return decision;
    }
    ++workspace.refused;
    decision.borrowing = isLoanOnItsWay(workspace, now);
    const std::int64_t missing = TokensPerRequest - workspace.book.tokens();
    const std::int64_t rate = std::max(workspace.book.capacity().rate, workspace.fleet.rate / 100);
    decision.retryAfter = Duration(std::min(scaled(missing, 1'000'000'000, rate), std::int64_t{5'000'000'000}));
    return decision;
}

void QuotaService::tick()
{
    const TimePoint now = m_clock.now();
    Batches batches;
    for (auto &[name, workspace] : m_workspaces) {
        advance(workspace, now);
        std::erase_if(workspace.wants, [&](const auto &entry) {
            return now - entry.second.at > 2 * m_settings.term;
        });
        noteTimeouts(workspace, now);
        borrow(workspace, now, batches);
        notifyWaiting(workspace);
    }
    renewAlongside(now, batches);
    sendBatches(batches, now);
}

void QuotaService::receive(const Endpoint & /*from*/, const BorrowGrant &message)
{
    const TimePoint now = m_clock.now();
    m_owners.noteAnswer(message.sender);
    acceptItem(message.sender,
               message.sequence,
               {message.workspace, message.rate, message.burst, message.tokens, message.loan, message.term},
               now);
    for (const LoanItem &item : message.more) {
        acceptItem(message.sender, message.sequence, item, now);
    }
}

std::vector<QuotaSnapshot> QuotaService::snapshot() const
{
    std::vector<QuotaSnapshot> result;
    result.reserve(m_workspaces.size());
    for (const auto &[name, workspace] : m_workspaces) {
        const LoanBook &book = workspace.book;
        result.push_back({.workspace = name,
                          .ownedRate = book.own().rate,
                          .lentRate = book.lent().rate,
                          .borrowedRate = book.held().rate,
                          .ownedBurst = book.own().burst,
                          .lentBurst = book.lent().burst,
                          .borrowedBurst = book.held().burst,
                          .tokens = book.tokens(),
                          .admitted = workspace.admitted,
                          .refused = workspace.refused});
    }
    return result;
}

std::unique_ptr<IQuota> makeQuota(IClock &clock,
                                  IRandom &random,
                                  IMessageSender &sender,
                                  IQuotaListener &listener,
                                  const NodeName &self,
                                  const Endpoint &endpoint,
                                  std::uint64_t incarnation,
                                  const QuotaSettings &settings)
{
    return std::make_unique<QuotaService>(clock, random, sender, listener, self, endpoint, incarnation, settings);
}

} // namespace vanillatack
