#include "quota/internal/sharetimeline.h"

namespace vanillatack {

void ShareTimeline::schedule(const QuotaAmount &amount, TimePoint effectiveAt)
{
    if (amount != m_changes.back().amount) {
        m_changes.push_back({amount, effectiveAt});
    }
}

QuotaAmount ShareTimeline::effective(TimePoint now)
{
    while (m_changes.size() > 1 && m_changes[1].effectiveAt <= now) {
        m_changes.erase(m_changes.begin());
    }
    QuotaAmount result = m_changes.front().amount;
    for (const Change &change : m_changes) {
        result = componentMin(result, change.amount);
    }
    return result;
}

bool ShareTimeline::empty() const
{
    return m_changes.size() == 1 && m_changes.front().amount.isEmpty();
}

} // namespace vanillatack
