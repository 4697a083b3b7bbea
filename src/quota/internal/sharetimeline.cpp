#include "quota/internal/sharetimeline.h"

namespace vanillatack {

void ShareTimeline::learn(const QuotaAmount &amount, TimePoint forceAt)
{
    if (amount != m_changes.back().amount) {
        m_changes.push_back({amount, forceAt});
    }
}

QuotaAmount ShareTimeline::effective(TimePoint now)
{
    while (m_changes.size() > 1 && m_changes[1].forceAt <= now) {
        m_changes.erase(m_changes.begin());
    }
    QuotaAmount result = m_changes.front().amount;
    for (const Change &change : m_changes) {
        result = lowerOf(result, change.amount);
    }
    return result;
}

bool ShareTimeline::empty() const
{
    return m_changes.size() == 1 && m_changes.front().amount.none();
}

} // namespace vanillatack
