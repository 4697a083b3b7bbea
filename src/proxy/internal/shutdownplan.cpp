#include "proxy/internal/shutdownplan.h"

namespace vanillatack {

namespace {

/// Callers are sent elsewhere after two readiness checks that fail, which come each second.
constexpr Duration CallersLeave = std::chrono::milliseconds(2600);
/// Other nodes learn within this time that the node takes no more calls.
constexpr Duration CallsLeave = std::chrono::milliseconds(800);
/// Part of the grace time after which new requests are refused. The other half is left for those that were taken; the
/// slowest ones take seconds.
constexpr double TakeRequestsShare = 0.47;
/// Left of the grace time when the process ends in any case.
constexpr Duration EndMargin = std::chrono::milliseconds(350);

} // namespace

ShutdownPlan::ShutdownPlan(Duration grace)
    : m_grace(grace)
{
}

bool ShutdownPlan::takesCalls(Duration since) const
{
    return since <= CallsLeave;
}

bool ShutdownPlan::takesRequests(Duration since) const
{
    return since <= m_grace * TakeRequestsShare;
}

bool ShutdownPlan::ends(Duration since, bool idle) const
{
    return (since > CallersLeave && idle) || since > m_grace - EndMargin;
}

} // namespace vanillatack
