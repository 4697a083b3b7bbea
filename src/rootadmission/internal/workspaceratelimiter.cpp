#include "rootadmission/workspaceratelimiter.h"

#include <algorithm>

namespace vanillatack {

namespace {

/// Upper bound of the first ask id, which leaves room for increments.
constexpr std::uint64_t MaxFirstAskId = std::uint64_t{1} << 62;
/// Time after which an unanswered ask is retried; several times the network latency between two zones of a region.
constexpr Duration AskTimeout = std::chrono::milliseconds(40);
/// Number of times that an ask is sent to one owner, since datagrams can be lost and must not cause refusals.
constexpr int MaxSendsPerOwner = 4;
/// Number of owners that are asked before the pending requests are refused.
constexpr int MaxOwnersAsked = 2;
/// Time for which an owner that did not answer is not asked again.
constexpr Duration OwnerAvoidTime = std::chrono::seconds(1);
/// Longest time for which requests are refused without another ask after a bucket was empty; other nodes may refund
/// tokens earlier.
constexpr Duration MaxExhaustedTime = std::chrono::milliseconds(100);

} // namespace

WorkspaceRateLimiter::WorkspaceRateLimiter(NodeName self,
                                           const RateTolerance &tolerance,
                                           IRandom &random,
                                           IRateLink &link)
    : m_self(self)
    , m_link(link)
    , m_buckets(tolerance)
    , m_ownership(std::move(self))
    , m_lastAskId(random.below(MaxFirstAskId))
{
}

void WorkspaceRateLimiter::setLimits(const std::map<WorkspaceName, RateLimit> &limits)
{
    for (const auto &[name, limit] : limits) {
        m_workspaces[name].limit = limit;
    }
    // Keeps entries with pending requests until these complete.
    for (auto &[name, workspace] : m_workspaces) {
        if (!limits.contains(name)) {
            workspace.limit = {};
        }
    }
    std::erase_if(m_workspaces, [&limits](const auto &entry) {
        return !limits.contains(entry.first) && entry.second.pending.empty();
    });
    std::erase_if(m_answered, [&limits](const auto &entry) {
        return !limits.contains(entry.first.second);
    });
    m_buckets.setLimits(limits);
}

void WorkspaceRateLimiter::acquire(const WorkspaceName &name, TimePoint now, TokenCompletion completion)
{
    const auto entry = m_workspaces.find(name);
    if (entry == m_workspaces.end() || entry->second.limit.ratePerSecond <= 0) {
        completion(TokenOutcome::Granted, {});
        return;
    }
    if (!m_ownersKnown) {
        completion(TokenOutcome::OwnerUnresponsive, {});
        return;
    }
    WorkspaceState &workspace = entry->second;
    if (workspace.refunded > 0) {
        --workspace.refunded;
        completion(TokenOutcome::Granted, {});
        return;
    }
    if (now < workspace.exhaustedUntil) {
        completion(TokenOutcome::Exhausted, workspace.exhaustedUntil - now);
        return;
    }
    workspace.pending.push_back(std::move(completion));
    if (!workspace.ask) {
        startAsk(name, workspace, 0, now);
    }
}

std::map<WorkspaceName, double> WorkspaceRateLimiter::pledgedShares() const
{
    std::map<WorkspaceName, double> shares;
    for (const auto &[name, workspace] : m_workspaces) {
        const double share = workspace.limit.ratePerSecond > 0 ? m_buckets.pledgedShare(name) : 0;
        if (share > 0) {
            shares[name] = share;
        }
    }
    return shares;
}

NodeName WorkspaceRateLimiter::owner(const WorkspaceName &workspace, TimePoint now) const
{
    for (const NodeName &node : m_ownership.ownerCandidates(workspace)) {
        const auto avoided = m_avoidUntil.find(node);
        const bool usable = avoided == m_avoidUntil.end() || avoided->second <= now;
        if (usable && !m_notOwners.contains(node)) {
            return node;
        }
    }
    return m_self;
}

void WorkspaceRateLimiter::startAsk(const WorkspaceName &name,
                                    WorkspaceState &workspace,
                                    int ownersAsked,
                                    TimePoint now)
{
    Ask ask;
    ask.id = ++m_lastAskId;
    ask.owner = owner(name, now);
    ask.wanted = static_cast<int>(workspace.pending.size());
    ask.ownerCount = ownersAsked + 1;
    if (ask.owner == m_self) {
        const TokenGrant grant = m_buckets.acquire(name, ask.wanted, now);
        workspace.ask = ask;
        completeAsk(name, {.askId = ask.id, .workspace = name, .granted = grant.granted, .dryFor = grant.dryFor}, now);
        return;
    }
    workspace.ask = ask;
    send(name, *workspace.ask, now);
}

void WorkspaceRateLimiter::send(const WorkspaceName &name, Ask &ask, TimePoint now)
{
    ++ask.sendCount;
    ask.sentAt = now;
    m_link.sendAsk(ask.owner, {.askId = ask.id, .asker = m_self, .workspace = name, .wanted = ask.wanted});
}

void WorkspaceRateLimiter::onAsk(const RateAsk &ask, TimePoint now)
{
    if (ask.returned > 0) {
        m_buckets.refund(ask.workspace, ask.returned, now);
    }
    if (ask.wanted == 0) {
        return;
    }
    // A retried ask gets the same answer, so that it does not acquire tokens twice.
    AnsweredAsk &answered = m_answered[{ask.asker, ask.workspace}];
    if (answered.askId != ask.askId) {
        const TokenGrant grant = m_buckets.acquire(ask.workspace, ask.wanted, now);
        answered.askId = ask.askId;
        answered.grant = {
            .askId = ask.askId, .workspace = ask.workspace, .granted = grant.granted, .dryFor = grant.dryFor};
    }
    m_link.sendGrant(ask.asker, answered.grant);
}

void WorkspaceRateLimiter::onGrant(const RateGrant &grant, TimePoint now)
{
    const auto entry = m_workspaces.find(grant.workspace);
    if (entry != m_workspaces.end() && entry->second.ask && entry->second.ask->id == grant.askId) {
        completeAsk(grant.workspace, grant, now);
    }
}

/// Completes the requests of the ask, and starts a new ask for requests that arrived since.
void WorkspaceRateLimiter::completeAsk(const WorkspaceName &name, const RateGrant &grant, TimePoint now)
{
    WorkspaceState &workspace = m_workspaces.at(name);
    const int wanted = workspace.ask->wanted;
    workspace.ask.reset();
    const int granted = std::min(grant.granted, wanted);
    if (granted < wanted) {
        workspace.exhaustedUntil = now + std::min(grant.dryFor, MaxExhaustedTime);
    }
    // Collected first, because the completions may acquire further tokens.
    std::deque<TokenCompletion> completed;
    for (int i = 0; i < wanted && !workspace.pending.empty(); ++i) {
        completed.push_back(std::move(workspace.pending.front()));
        workspace.pending.pop_front();
    }
    if (!workspace.pending.empty()) {
        startAsk(name, workspace, 0, now);
    }
    for (std::size_t i = 0; i < completed.size(); ++i) {
        const bool hasToken = static_cast<int>(i) < granted;
        completed[i](hasToken ? TokenOutcome::Granted : TokenOutcome::Exhausted, hasToken ? Duration{0} : grant.dryFor);
    }
}

void WorkspaceRateLimiter::retryAsks(TimePoint now)
{
    std::deque<TokenCompletion> failed;
    for (auto &[name, workspace] : m_workspaces) {
        if (!workspace.ask || now - workspace.ask->sentAt < AskTimeout) {
            continue;
        }
        if (workspace.ask->sendCount < MaxSendsPerOwner) {
            send(name, *workspace.ask, now);
            continue;
        }
        m_avoidUntil[workspace.ask->owner] = now + OwnerAvoidTime;
        const int ownersAsked = workspace.ask->ownerCount;
        if (ownersAsked < MaxOwnersAsked) {
            startAsk(name, workspace, ownersAsked, now);
            continue;
        }
        workspace.ask.reset();
        failed.insert(failed.end(),
                      std::make_move_iterator(workspace.pending.begin()),
                      std::make_move_iterator(workspace.pending.end()));
        workspace.pending.clear();
    }
    for (const TokenCompletion &completion : failed) {
        completion(TokenOutcome::OwnerUnresponsive, {});
    }
}

bool WorkspaceRateLimiter::hasPendingAsks() const
{
    return std::any_of(m_workspaces.begin(), m_workspaces.end(), [](const auto &entry) {
        return entry.second.ask.has_value();
    });
}

void WorkspaceRateLimiter::refund(const WorkspaceName &workspace)
{
    const auto entry = m_workspaces.find(workspace);
    if (entry != m_workspaces.end() && entry->second.limit.ratePerSecond > 0) {
        ++entry->second.refunded;
    }
}

void WorkspaceRateLimiter::returnRefunds(TimePoint now)
{
    for (auto &[name, workspace] : m_workspaces) {
        if (workspace.refunded == 0) {
            continue;
        }
        const NodeName to = owner(name, now);
        if (to == m_self) {
            m_buckets.refund(name, workspace.refunded, now);
        } else {
            // An ask for no tokens carries the refund. It is neither answered nor retried: a lost message loses the
            // tokens.
            m_link.sendAsk(to, {.askId = 0, .asker = m_self, .workspace = name, .returned = workspace.refunded});
        }
        workspace.refunded = 0;
    }
}

void WorkspaceRateLimiter::update(const std::set<NodeName> &registered,
                                  std::vector<OwnerStatement> statements,
                                  TimePoint now)
{
    m_ownersKnown = true;
    m_notOwners.clear();
    for (const OwnerStatement &statement : statements) {
        if (statement.node == m_self) {
            m_notOwners = statement.notOwners;
        }
    }
    std::erase_if(m_avoidUntil, [now](const auto &entry) {
        return entry.second <= now;
    });
    std::erase_if(m_answered, [&registered](const auto &entry) {
        return !registered.contains(entry.first.first);
    });
    m_ownership.setNodes(registered);
    m_ownership.setStatements(std::move(statements));
    for (const auto &[name, workspace] : m_workspaces) {
        m_buckets.setPledgedShare(name, m_ownership.pledgedShare(name), now);
    }
    returnRefunds(now);
}

} // namespace vanillatack
