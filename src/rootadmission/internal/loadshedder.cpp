#include "rootadmission/loadshedder.h"

#include "base/durations.h"

#include <algorithm>

namespace vanillatack {

namespace {

/// Credit that a new pair of route and workspace starts with, so that the first request of many small ones enters.
constexpr double FirstCredit = 0.5;
/// Callers wait at most a third of the time that they have left; the longest wait named stays a little below it.
constexpr double LongestWaitShare = 0.3;
/// Part of the target latency that a wait may take, so that the rest suffices for an answer.
constexpr double TargetWaitShare = 0.45;
/// Shortest wait, as a part of the longest one.
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
    double &credit = m_credits.try_emplace({route, workspace}, FirstCredit).first->second;
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

Duration retryAfter(const ReturnWindow &window, IRandom &random)
{
    const double patience = toSeconds(window.timeLeft) * LongestWaitShare;
    const double useful =
        window.targetLatency > Duration{0} ? toSeconds(window.targetLatency) * TargetWaitShare : patience;
    const double expected = toSeconds(window.expectedWait);
    const double longest = std::min(patience, expected < useful ? useful : expected * (1 + SpreadShare));
    const double shortest = std::clamp(expected, longest * SpreadShare, longest);
    const double wait = shortest + (longest - shortest) * random.fraction();
    return fromSeconds(wait);
}

} // namespace vanillatack
