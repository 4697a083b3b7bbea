#include "rootadmission/loadshedder.h"

#include "base/durations.h"

#include <algorithm>

namespace vanillatack {

namespace {

/// Initial credit of each route and workspace, in requests; a request is admitted once the credit reaches 1. At 0, the
/// first requests of many small workspaces would all be refused.
constexpr double InitialCredit = 0.5;
/// Longest Retry-After as a share of the time left. Callers wait at most a third of that time; this stays slightly
/// below.
constexpr double MaxWaitShare = 0.3;
/// Longest Retry-After as a share of the target latency, which leaves enough time for the answer.
constexpr double TargetWaitShare = 0.45;
/// Shortest Retry-After as a share of the longest; also the share of the expected wait by which the Retry-After may
/// exceed it. Both spread the retries of callers that were refused at the same time.
constexpr double SpreadShare = 0.3;

} // namespace

void LoadShedder::setShares(std::map<RouteName, double> shares)
{
    m_shares = std::move(shares);
    std::erase_if(m_credits, [this](const auto &entry) {
        return share(entry.first.first) >= 1.0;
    });
}

bool LoadShedder::admit(const RouteName &route, const WorkspaceName &workspace)
{
    const double admitted = share(route);
    if (admitted >= 1.0) {
        return true;
    }
    double &credit = m_credits.try_emplace({route, workspace}, InitialCredit).first->second;
    credit += admitted;
    if (credit < 1.0) {
        return false;
    }
    credit -= 1.0;
    return true;
}

double LoadShedder::share(const RouteName &route) const
{
    const auto entry = m_shares.find(route);
    return entry == m_shares.end() ? 1.0 : entry->second;
}

Duration retryAfter(const RetryWindow &window, IRandom &random)
{
    const double deadlineLimit = toSeconds(window.timeLeft) * MaxWaitShare;
    const double targetLimit =
        window.targetLatency > Duration{0} ? toSeconds(window.targetLatency) * TargetWaitShare : deadlineLimit;
    const double expected = toSeconds(window.expectedWait);
    const double longest = std::min(deadlineLimit, expected < targetLimit ? targetLimit : expected * (1 + SpreadShare));
    const double shortest = std::clamp(expected, longest * SpreadShare, longest);
    const double wait = shortest + (longest - shortest) * random.fraction();
    return fromSeconds(wait);
}

} // namespace vanillatack
