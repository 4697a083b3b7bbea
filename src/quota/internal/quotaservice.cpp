#include "quota/internal/quotaservice.h"

#include "base/invariant.h"
#include "base/log.h"

#include <utility>

namespace vanillatack {

namespace {

constexpr Log QuotaLog("quota");

// Owners whose shares are below one of these pool them at one owner, since random arrivals at one of them would too
// often exceed its share while others have tokens. The rate bounds the load of the collecting owner.
constexpr QuotaAmount PoolBelow{32 * TokensPerRequest, 32 * TokensPerRequest};

// A caller that was told that a loan is on its way is assumed to wait this long.
constexpr std::chrono::milliseconds CallerPatience{60};

// A request waits when the own bucket will have a token for it this soon; about one tick.
constexpr std::chrono::milliseconds RefillPatience{50};

// A waiting caller tries again this soon after it was told of tokens.
constexpr std::chrono::milliseconds RetryTime{10};

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
    , m_lastRun(clock.now())
    , m_owners(self)
    , m_nextSequence((incarnation << IncarnationShift) + 1)
    , m_nextLoan((incarnation << IncarnationShift) + 1)
    , m_renewalPercent(45 + static_cast<int>(random.below(15)))
    , m_requestAllowance(settings.requestsPerSecond)
    , m_allowanceAt(clock.now())
{
    VT_INVARIANT(settings.startHold >= lenderEnd(TimePoint{}, settings.term) - TimePoint{},
                 "A started owner must wait until earlier loans have ended.");
    VT_INVARIANT(settings.pauseLimit + settings.shareHold + settings.term + settings.driftMargin < settings.raiseDelay,
                 "A paused owner must learn a lower share before others use a higher one.");
}

void QuotaService::configure(const std::map<WorkspaceName, WorkspaceQuota> &quotas, const ShareFraction &share)
{
    const TimePoint now = currentTime();
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

void QuotaService::setShareOwners(const std::vector<Member> &owners)
{
    m_owners.set(owners);
}

TimePoint QuotaService::currentTime()
{
    const TimePoint now = m_clock.now();
    if (now - m_lastRun > m_settings.pauseLimit) {
        m_shareHeldUntil = now + m_settings.shareHold;
        QuotaLog.warning("This node was paused, its share is held.");
    }
    m_lastRun = now;
    return now;
}

void QuotaService::advance(Workspace &workspace, TimePoint now)
{
    workspace.book.advance(now);
    workspace.book.setOwn(now < m_shareHeldUntil ? QuotaAmount{} : workspace.share.effective(now));
}

bool QuotaService::isPooled(const Workspace &workspace) const
{
    const auto owners = static_cast<std::int64_t>(m_owners.count());
    return owners > 1
        && (workspace.fleet.rate / owners < PoolBelow.rate || workspace.fleet.burst / owners < PoolBelow.burst);
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

void QuotaService::notifyWaiting(Workspace &workspace, TimePoint now)
{
    if (workspace.waitingUntil > now && workspace.book.tokens() >= TokensPerRequest) {
        workspace.waitingUntil = {};
        workspace.retries = std::exchange(workspace.waiting, 0);
        workspace.retriesUntil = now + RetryTime;
        m_listener.onTokensAvailable(workspace.name);
    }
}

QuotaDecision QuotaService::tryAcquire(const WorkspaceName &name)
{
    const auto found = m_workspaces.find(name);
    if (found == m_workspaces.end() || found->second.fleet.rate <= 0) {
        return {.retryAfter = std::chrono::seconds(1)};
    }
    const TimePoint now = currentTime();
    Workspace &workspace = found->second;
    advance(workspace, now);
    if (workspace.retries > 0 && now < workspace.retriesUntil) {
        --workspace.retries;
    } else {
        workspace.demand.count(now);
    }
    QuotaDecision decision;
    decision.admitted = workspace.book.take();
    if (!decision.admitted) {
        workspace.waiting = workspace.waitingUntil > now ? workspace.waiting : 0;
        workspace.waitingUntil = now + CallerPatience;
    }
    if (!decision.admitted) {
        // Without a waiting request, the next tick asks for all workspaces in one message.
        Batches batches;
        borrow(workspace, now, batches);
        sendBatches(batches, now);
    }
    if (decision.admitted) {
        ++workspace.admitted;
        return decision;
    }
    ++workspace.refused;
    const std::int64_t missing = (workspace.waiting + 1) * TokensPerRequest - workspace.book.tokens();
    const std::int64_t rate = std::max(workspace.book.capacity().rate, workspace.fleet.rate / 100);
    decision.retryAfter = Duration(std::min(scaled(missing, 1'000'000'000, rate), std::int64_t{5'000'000'000}));
    decision.tokensExpected = isLoanOnItsWay(workspace, now)
        || (workspace.book.capacity().burst >= TokensPerRequest && decision.retryAfter < RefillPatience);
    workspace.waiting += decision.tokensExpected ? 1 : 0;
    return decision;
}

void QuotaService::tick()
{
    const TimePoint now = currentTime();
    Batches batches;
    for (auto &[name, workspace] : m_workspaces) {
        advance(workspace, now);
        std::erase_if(workspace.wants, [&](const auto &entry) {
            return now - entry.second.at > 2 * m_settings.term;
        });
        noteTimeouts(workspace, now);
        serveDeferred(workspace, now);
        borrow(workspace, now, batches);
        notifyWaiting(workspace, now);
    }
    renewAlongside(now, batches);
    sendBatches(batches, now);
}

void QuotaService::receive(const Endpoint & /*from*/, const BorrowGrant &message)
{
    const TimePoint now = currentTime();
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
