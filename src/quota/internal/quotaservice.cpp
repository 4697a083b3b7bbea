#include "quota/internal/quotaservice.h"

#include "base/inidocument.h"
#include "base/invariant.h"
#include "base/log.h"

#include <utility>

namespace vanillatack {

namespace {

constexpr Log QuotaLog("quota");

// A workspace whose shares are below this rate or burst is pooled at one owner, because random arrivals at one owner
// would too often exceed its share while others have tokens. The rate bounds the load of the pool owner.
constexpr QuotaAmount PoolingThreshold{32 * TokensPerRequest, 32 * TokensPerRequest};

// A refused caller is assumed to wait this long for tokens.
constexpr std::chrono::milliseconds CallerWaitTime{60};

// A request waits when its own bucket refills within this time; about one tick.
constexpr std::chrono::milliseconds MaxRefillWait{50};

// A waiting caller retries within this time after it was notified of tokens.
constexpr std::chrono::milliseconds RetryWindow{10};

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
    , m_lastCallAt(clock.now())
    , m_owners(self)
    , m_nextSequence((incarnation << IncarnationShift) + 1)
    , m_nextLoanId((incarnation << IncarnationShift) + 1)
    , m_renewalPercent(45 + static_cast<int>(random.below(15)))
    , m_borrowRequestsLeft(settings.maxBorrowRequestsPerSecond)
    , m_borrowRequestsUpdatedAt(clock.now())
{
    VT_INVARIANT(settings.startupDelay >= lenderExpiry(TimePoint{}, settings.maxLoanTerm) - TimePoint{},
                 "The startup delay is shorter than the longest loan of an earlier process.");
    VT_INVARIANT(settings.pauseLimit + settings.shareSuspension + settings.maxLoanTerm + settings.driftMargin
                     < settings.increaseDelay,
                 "A paused owner could use its old share after others have increased theirs.");
}

void QuotaService::configure(const std::map<WorkspaceName, WorkspaceQuota> &quotas, const ShareFraction &share)
{
    const TimePoint now = currentTime();
    const TimePoint effectiveAt = now + (m_configured ? m_settings.increaseDelay : m_settings.startupDelay);
    m_configured = true;
    for (const auto &[name, quota] : quotas) {
        m_workspaces[name].name = name;
    }
    for (auto &[name, workspace] : m_workspaces) {
        const auto quota = quotas.find(name);
        workspace.fleetQuota = quota == quotas.end() ? WorkspaceQuota{} : quota->second;
        advance(workspace, now);
        workspace.share.schedule({scaled(workspace.fleetQuota.rate, share.numerator, share.denominator),
                                  scaled(workspace.fleetQuota.burst, share.numerator, share.denominator)},
                                 effectiveAt);
        advance(workspace, now);
    }
    QuotaLog.info("Applied the quotas of a configuration; higher amounts take effect in "
                      + formatDuration(effectiveAt - now) + ".",
                  {{"workspaces", std::to_string(quotas.size())}});
}

void QuotaService::setShareOwners(const std::vector<Member> &owners)
{
    m_owners.set(owners);
}

TimePoint QuotaService::currentTime()
{
    const TimePoint now = m_clock.now();
    if (now - m_lastCallAt > m_settings.pauseLimit) {
        m_shareSuspendedUntil = now + m_settings.shareSuspension;
        QuotaLog.warning("This node was paused for " + formatDuration(now - m_lastCallAt)
                         + " and may have missed a configuration; it does not use its quota share for "
                         + formatDuration(m_settings.shareSuspension) + ".");
    }
    m_lastCallAt = now;
    return now;
}

void QuotaService::advance(Workspace &workspace, TimePoint now)
{
    workspace.book.advance(now);
    workspace.book.setOwnShare(now < m_shareSuspendedUntil ? QuotaAmount{} : workspace.share.effective(now));
}

bool QuotaService::isPooled(const Workspace &workspace) const
{
    const auto owners = static_cast<std::int64_t>(m_owners.count());
    return owners > 1
        && (workspace.fleetQuota.rate / owners < PoolingThreshold.rate
            || workspace.fleetQuota.burst / owners < PoolingThreshold.burst);
}

bool QuotaService::isLender(const Workspace &workspace, TimePoint now) const
{
    if (!m_owners.selfIsOwner()) {
        return false;
    }
    return !isPooled(workspace) || m_owners.poolOwner(workspace.name, now)->member.node == m_self;
}

QuotaAmount QuotaService::ownDemand(const Workspace &workspace, TimePoint now) const
{
    const QuotaAmount fleetQuota{workspace.fleetQuota.rate, workspace.fleetQuota.burst};
    return componentMin(workspace.demand.requiredAmount(now), fleetQuota);
}

QuotaAmount QuotaService::servedDemand(const Workspace &workspace, TimePoint now) const
{
    QuotaAmount result = ownDemand(workspace, now);
    for (const auto &[node, demand] : workspace.borrowerDemands) {
        if (!demand.fromOwner && now - demand.reportedAt < m_settings.maxLoanTerm) {
            result += demand.amount;
        }
    }
    return result;
}

LoanId QuotaService::nextLoanId()
{
    return LoanId{m_nextLoanId++};
}

void QuotaService::notifyListener(Workspace &workspace, TimePoint now)
{
    if (workspace.waitingUntil > now && workspace.book.tokens() >= TokensPerRequest) {
        workspace.waitingUntil = {};
        workspace.expectedRetries = std::exchange(workspace.waitingCallers, 0);
        workspace.retryWindowEnd = now + RetryWindow;
        m_listener.onTokensAvailable(workspace.name);
    }
}

QuotaDecision QuotaService::tryAcquire(const WorkspaceName &name)
{
    const auto found = m_workspaces.find(name);
    if (found == m_workspaces.end() || found->second.fleetQuota.rate <= 0) {
        return {.retryAfter = std::chrono::seconds(1)};
    }
    const TimePoint now = currentTime();
    Workspace &workspace = found->second;
    advance(workspace, now);
    if (workspace.expectedRetries > 0 && now < workspace.retryWindowEnd) {
        --workspace.expectedRetries;
    } else {
        workspace.demand.recordRequest(now);
    }
    QuotaDecision decision;
    decision.admitted = workspace.book.acquire();
    if (!decision.admitted) {
        workspace.waitingCallers = workspace.waitingUntil > now ? workspace.waitingCallers : 0;
        workspace.waitingUntil = now + CallerWaitTime;
    }
    if (!decision.admitted) {
        // After an admitted request, borrowing waits for the next tick, which batches all workspaces in one message.
        Batches batches;
        borrow(workspace, now, batches);
        sendBatches(batches, now);
    }
    if (decision.admitted) {
        ++workspace.admitted;
        return decision;
    }
    ++workspace.refused;
    const std::int64_t missing = (workspace.waitingCallers + 1) * TokensPerRequest - workspace.book.tokens();
    const std::int64_t rate = std::max(workspace.book.capacity().rate, workspace.fleetQuota.rate / 100);
    decision.retryAfter = Duration(std::min(scaled(missing, 1'000'000'000, rate), std::int64_t{5'000'000'000}));
    decision.tokensExpected = isLoanExpected(workspace, now)
        || (workspace.book.capacity().burst >= TokensPerRequest && decision.retryAfter < MaxRefillWait);
    workspace.waitingCallers += decision.tokensExpected ? 1 : 0;
    return decision;
}

void QuotaService::tick()
{
    const TimePoint now = currentTime();
    Batches batches;
    for (auto &[name, workspace] : m_workspaces) {
        advance(workspace, now);
        std::erase_if(workspace.borrowerDemands, [&](const auto &entry) {
            return now - entry.second.reportedAt > 2 * m_settings.maxLoanTerm;
        });
        expireRequests(workspace, now);
        answerDeferredRequests(workspace, now);
        borrow(workspace, now, batches);
        notifyListener(workspace, now);
    }
    renewEarly(now, batches);
    sendBatches(batches, now);
}

void QuotaService::receive(const Endpoint & /*from*/, const BorrowGrant &message)
{
    const TimePoint now = currentTime();
    m_owners.recordAnswer(message.sender);
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
                          .ownedRate = book.ownShare().rate,
                          .lentRate = book.lent().rate,
                          .borrowedRate = book.held().rate,
                          .ownedBurst = book.ownShare().burst,
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
