#include "entrance/entranceshedder.h"

#include <algorithm>

namespace vanillatack {

namespace {

/// Credit that a new pair of route and workspace starts with, so that the first request of many small ones enters.
constexpr double FirstCredit = 0.5;
/// Callers wait at most a third of the time that they have left; the longest wait named stays a little below it.
constexpr double LongestWaitShare = 0.3;
constexpr double ShortestWaitShare = 0.08;

} // namespace

void EntranceShedder::setShares(std::map<RouteName, double> shares)
{
    m_shares = std::move(shares);
    std::erase_if(m_credits, [this](const auto &entry) {
        return share(entry.first.first) >= 1.0;
    });
}

bool EntranceShedder::admit(const RouteName &route, const WorkspaceName &workspace)
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

double EntranceShedder::share(const RouteName &route) const
{
    const auto entry = m_shares.find(route);
    return entry == m_shares.end() ? 1.0 : entry->second;
}

Duration retryAfter(Duration timeLeft, Duration expectedWait, IRandom &random)
{
    const double left = std::chrono::duration<double>(timeLeft).count();
    const double longest = left * LongestWaitShare;
    const double shortest =
        std::clamp(std::chrono::duration<double>(expectedWait).count(), left * ShortestWaitShare, longest);
    const double wait = shortest + (longest - shortest) * random.fraction();
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

} // namespace vanillatack
