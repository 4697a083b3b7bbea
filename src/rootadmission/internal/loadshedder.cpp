#include "rootadmission/loadshedder.h"

#include "base/durations.h"

#include <algorithm>

namespace vanillatack {

namespace {

/// Initial credit of a pair of route and workspace; at 0, the first requests of many small workspaces would all be
/// refused.
constexpr double InitialCredit = 0.5;
/// Longest wait as a share of the time left. Callers wait at most a third of it; this stays slightly below.
constexpr double MaxWaitShare = 0.3;
/// Longest wait as a share of the target latency, which leaves enough time for the answer.
constexpr double TargetWaitShare = 0.45;
/// Shortest wait as a share of the longest; also the spread above the expected wait.
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
