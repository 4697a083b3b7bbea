#include "fleet/storefreshness.h"

#include <algorithm>

namespace vanillatack {

void StoreFreshness::confirm(const StoreConfirmation &confirmation)
{
    if (confirmation.confirmedAt) {
        const Duration confirmedAt = std::min(*confirmation.confirmedAt, confirmation.received);
        m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, confirmedAt) : confirmedAt;
        return;
    }
    // The store answers after the call was sent, so the local time of the answer is at least `sent`, and
    // storeClock - sent is an upper bound of the clock offset.
    const Duration offset = confirmation.storeClock - confirmation.sent;
    // A replaced store has a new clock, for which the old bound is invalid.
    const bool restarted = m_maxOffset && confirmation.storeClock - confirmation.received > *m_maxOffset;
    m_maxOffset = m_maxOffset && !restarted ? std::min(*m_maxOffset, offset) : offset;
    const Duration confirmedAt =
        std::clamp(confirmation.storeClock - *m_maxOffset, confirmation.sent, confirmation.received);
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
