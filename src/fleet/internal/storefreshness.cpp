#include "fleet/storefreshness.h"

#include <algorithm>

namespace vanillatack {

void StoreFreshness::confirm(const StoreConfirmation &confirmation)
{
    const auto [storeClock, sent, received, passedOn] = confirmation;
    if (passedOn) {
        const Duration made = std::min(*passedOn, received);
        m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, made) : made;
        return;
    }
    // The answer was made after sending: local time of the answer >= sent.
    const Duration offset = storeClock - sent;
    // A store that was replaced starts its clock anew; then the old bound says nothing.
    const bool restarted = m_maxOffset && storeClock - received > *m_maxOffset;
    m_maxOffset = m_maxOffset && !restarted ? std::min(*m_maxOffset, offset) : offset;
    const Duration made = std::clamp(storeClock - *m_maxOffset, sent, received);
    m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, made) : made;
}

std::optional<Duration> StoreFreshness::age(Duration now) const
{
    if (!m_confirmedAt) {
        return std::nullopt;
    }
    return now - *m_confirmedAt;
}

} // namespace vanillatack
