#include "fleet/storefreshness.h"

#include <algorithm>

namespace vanillatack {

void StoreFreshness::confirm(const StoreConfirmation &confirmation)
{
    const auto [storeClock, sent, received, relayed] = confirmation;
    if (relayed) {
        const Duration confirmedAt = std::min(*relayed, received);
        m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, confirmedAt) : confirmedAt;
        return;
    }
    // The store answers after the call was sent, so the local time of the answer is at least `sent`.
    const Duration offset = storeClock - sent;
    // A replaced store has a new clock, for which the old bound is invalid.
    const bool restarted = m_maxOffset && storeClock - received > *m_maxOffset;
    m_maxOffset = m_maxOffset && !restarted ? std::min(*m_maxOffset, offset) : offset;
    const Duration confirmedAt = std::clamp(storeClock - *m_maxOffset, sent, received);
    m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, confirmedAt) : confirmedAt;
}

std::optional<Duration> StoreFreshness::age(Duration now) const
{
    if (!m_confirmedAt) {
        return std::nullopt;
    }
    return now - *m_confirmedAt;
}

} // namespace vanillatack
