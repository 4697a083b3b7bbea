#include "proxy/internal/shutdownplan.h"

#include <algorithm>

namespace vanillatack {

namespace {

/// Shortest time until the exit, even when idle: callers use this node until two readiness checks, one per second, have
/// failed.
constexpr Duration CallerDrainTime = std::chrono::milliseconds(2600);
/// Time within which other nodes learn that this node accepts no more calls.
constexpr Duration RegistryUpdateTime = std::chrono::milliseconds(800);
/// Share of the grace period after which new requests are refused. The remainder is left for the accepted requests, the
/// slowest of which take seconds.
constexpr double AcceptRequestsShare = 0.47;
/// Latest time at which new requests are taken, also in a long grace period. Callers use other nodes by then, and what
/// comes later could still be running at the end.
constexpr Duration MaxAcceptRequestsTime = std::chrono::milliseconds(2850);
/// Time before the exit at which the instances that run requests taken during the shutdown must have answered.
constexpr Duration AnswerReturnTime = std::chrono::milliseconds(150);
/// Time before the exit at which all requests have been answered, so that the answers can still be sent.
constexpr Duration AnswerSendTime = std::chrono::milliseconds(50);
/// Time before the end of the grace period at which the process exits even if it is not idle.
constexpr Duration ExitMargin = std::chrono::milliseconds(350);

} // namespace

ShutdownPlan::ShutdownPlan(Duration grace)
    : m_grace(grace)
{
}

bool ShutdownPlan::acceptsCalls(Duration elapsed) const
{
    return elapsed <= RegistryUpdateTime;
}

bool ShutdownPlan::acceptsRequests(Duration elapsed) const
{
    return elapsed <= std::min<Duration>(std::chrono::duration_cast<Duration>(m_grace * AcceptRequestsShare),
                                         MaxAcceptRequestsTime);
}

Duration ShutdownPlan::requestTimeLimit() const
{
    return std::max(m_grace - ExitMargin - AnswerReturnTime, Duration{0});
}

Duration ShutdownPlan::lastAnswerTime() const
{
    return std::max(m_grace - ExitMargin - AnswerSendTime, Duration{0});
}

bool ShutdownPlan::shouldExit(Duration elapsed, bool idle) const
{
    return (elapsed > CallerDrainTime && idle) || elapsed > m_grace - ExitMargin;
}

} // namespace vanillatack
