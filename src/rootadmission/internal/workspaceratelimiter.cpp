#include "rootadmission/workspaceratelimiter.h"

#include <algorithm>

namespace vanillatack {

namespace {

/// First ask ids are drawn below this, which leaves room to count up.
constexpr std::uint64_t AskIds = std::uint64_t{1} << 62;
/// An ask is repeated after this time; several times the way between two zones of a region.
constexpr Duration AskPatience = std::chrono::milliseconds(40);
/// Times that an owner is asked, so that lost datagrams cost no request, and owners that are asked before a request is
/// refused.
constexpr int SendsToOneOwner = 4;
constexpr int OwnersToAsk = 2;
/// How long an owner is not asked again that has left an ask unanswered.
constexpr Duration OwnerPause = std::chrono::seconds(1);
/// Longest time for which an empty bucket is believed without asking again; others may return tokens.
constexpr Duration LongestDryness = std::chrono::milliseconds(100);

} // namespace

WorkspaceRateLimiter::WorkspaceRateLimiter(NodeName self,
                                           const RateTolerance &tolerance,
                                           IRandom &random,
                                           IRateLink &link)
    : m_self(self)
    , m_link(link)
    , m_ledger(tolerance)
    , m_ownership(std::move(self))
    , m_lastAsk(random.below(AskIds))
{
}

void WorkspaceRateLimiter::setLimits(const std::map<WorkspaceName, RateLimit> &limits)
{
    for (const auto &[name, limit] : limits) {
        m_workspaces[name].limit = limit;
    }
    // Entries with waiting requests stay until these have ended.
    for (auto &[name, workspace] : m_workspaces) {
        if (!limits.contains(name)) {
            workspace.limit = {};
        }
    }
    std::erase_if(m_workspaces, [&limits](const auto &entry) {
        return !limits.contains(entry.first) && entry.second.waiting.empty();
    });
    std::erase_if(m_answered, [&limits](const auto &entry) {
        return !limits.contains(entry.first.second);
    });
    m_ledger.setLimits(limits);
}

void WorkspaceRateLimiter::acquire(const WorkspaceName &name, TimePoint now, TokenCompletion completion)
{
    const auto entry = m_workspaces.find(name);
    if (entry == m_workspaces.end() || entry->second.limit.ratePerSecond <= 0) {
        completion(TokenOutcome::Granted, {});
        return;
    }
    Workspace &workspace = entry->second;
    if (workspace.returned > 0) {
        --workspace.returned;
        completion(TokenOutcome::Granted, {});
        return;
    }
    if (now < workspace.dryUntil) {
        completion(TokenOutcome::Exhausted, workspace.dryUntil - now);
        return;
    }
    workspace.waiting.push_back(std::move(completion));
    if (!workspace.ask) {
        startAsk(name, workspace, 0, now);
    }
}

std::map<WorkspaceName, double> WorkspaceRateLimiter::pledgedShares() const
{
    std::map<WorkspaceName, double> parts;
    for (const auto &[name, workspace] : m_workspaces) {
        const double part = workspace.limit.ratePerSecond > 0 ? m_ledger.pledged(name) : 0;
        if (part > 0) {
            parts[name] = part;
        }
    }
    return parts;
}

NodeName WorkspaceRateLimiter::owner(const WorkspaceName &workspace, TimePoint now) const
{
    for (const NodeName &node : m_ownership.order(workspace)) {
        const auto avoided = m_avoidUntil.find(node);
        const bool asked = avoided == m_avoidUntil.end() || avoided->second <= now;
        if (asked && !m_silent.contains(node)) {
            return node;
        }
    }
    return m_self;
}

void WorkspaceRateLimiter::startAsk(const WorkspaceName &name, Workspace &workspace, int ownersAsked, TimePoint now)
{
    Ask ask;
    ask.id = ++m_lastAsk;
    ask.owner = owner(name, now);
    ask.wanted = static_cast<int>(workspace.waiting.size());
    ask.owners = ownersAsked + 1;
    if (ask.owner == m_self) {
        const TokenGrant grant = m_ledger.take(name, ask.wanted, now);
        workspace.ask = ask;
        settle(name, {.askId = ask.id, .workspace = name, .granted = grant.granted, .dryFor = grant.dryFor}, now);
        return;
    }
    workspace.ask = ask;
    send(name, *workspace.ask, now);
}

void WorkspaceRateLimiter::send(const WorkspaceName &name, Ask &ask, TimePoint now)
{
    ++ask.sent;
    ask.sentAt = now;
    m_link.sendAsk(ask.owner, {.askId = ask.id, .asker = m_self, .workspace = name, .wanted = ask.wanted});
}

void WorkspaceRateLimiter::onAsk(const RateAsk &ask, TimePoint now)
{
    if (ask.returned > 0) {
        m_ledger.giveBack(ask.workspace, ask.returned, now);
    }
    if (ask.wanted == 0) {
        return;
    }
    // A repeated ask gets the same answer, so that it takes no tokens twice.
    Answered &answered = m_answered[{ask.asker, ask.workspace}];
    if (answered.askId != ask.askId) {
        const TokenGrant grant = m_ledger.take(ask.workspace, ask.wanted, now);
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
        settle(grant.workspace, grant, now);
    }
}

/// Ends the requests for which the ask was made, and asks for those that have come since.
void WorkspaceRateLimiter::settle(const WorkspaceName &name, const RateGrant &grant, TimePoint now)
{
    Workspace &workspace = m_workspaces.at(name);
    const int wanted = workspace.ask->wanted;
    workspace.ask.reset();
    const int granted = std::min(grant.granted, wanted);
    if (granted < wanted) {
        workspace.dryUntil = now + std::min(grant.dryFor, LongestDryness);
    }
    // The completions may take further tokens.
    std::deque<TokenCompletion> ended;
    for (int i = 0; i < wanted && !workspace.waiting.empty(); ++i) {
        ended.push_back(std::move(workspace.waiting.front()));
        workspace.waiting.pop_front();
    }
    if (!workspace.waiting.empty()) {
        startAsk(name, workspace, 0, now);
    }
    for (std::size_t i = 0; i < ended.size(); ++i) {
        const bool served = static_cast<int>(i) < granted;
        ended[i](served ? TokenOutcome::Granted : TokenOutcome::Exhausted, served ? Duration{0} : grant.dryFor);
    }
}

void WorkspaceRateLimiter::retryAsks(TimePoint now)
{
    std::deque<TokenCompletion> failed;
    for (auto &[name, workspace] : m_workspaces) {
        if (!workspace.ask || now - workspace.ask->sentAt < AskPatience) {
            continue;
        }
        if (workspace.ask->sent < SendsToOneOwner) {
            send(name, *workspace.ask, now);
            continue;
        }
        m_avoidUntil[workspace.ask->owner] = now + OwnerPause;
        const int owners = workspace.ask->owners;
        if (owners < OwnersToAsk) {
            startAsk(name, workspace, owners, now);
            continue;
        }
        workspace.ask.reset();
        failed.insert(failed.end(),
                      std::make_move_iterator(workspace.waiting.begin()),
                      std::make_move_iterator(workspace.waiting.end()));
        workspace.waiting.clear();
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
        ++entry->second.returned;
    }
}

void WorkspaceRateLimiter::returnTokens(TimePoint now)
{
    for (auto &[name, workspace] : m_workspaces) {
        if (workspace.returned == 0) {
            continue;
        }
        const NodeName to = owner(name, now);
        if (to == m_self) {
            m_ledger.giveBack(name, workspace.returned, now);
        } else {
            m_link.sendAsk(to, {.askId = 0, .asker = m_self, .workspace = name, .returned = workspace.returned});
        }
        workspace.returned = 0;
    }
}

void WorkspaceRateLimiter::update(const std::set<NodeName> &registered,
                                  const std::set<NodeName> &candidates,
                                  std::vector<NodeView> views,
                                  TimePoint now)
{
    m_silent.clear();
    for (const NodeView &view : views) {
        if (view.node == m_self) {
            m_silent = view.silent;
        }
    }
    std::erase_if(m_avoidUntil, [now](const auto &entry) {
        return entry.second <= now;
    });
    std::erase_if(m_answered, [&registered](const auto &entry) {
        return !registered.contains(entry.first.first);
    });
    m_ownership.setNodes(registered, candidates);
    m_ownership.setViews(std::move(views));
    for (const auto &[name, workspace] : m_workspaces) {
        m_ledger.setPledged(name, m_ownership.pledged(name), now);
    }
    returnTokens(now);
}

} // namespace vanillatack
