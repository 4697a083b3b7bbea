#pragma once

#include "quota/internal/tokenbucket.h"

#include <vector>

namespace vanillatack {

/// Scheduled amounts of the own share across configuration changes. Until a scheduled amount takes effect, the minimum
/// of the effective amount and all scheduled ones applies, so that an owner never uses more than it owns under any
/// configuration that other owners may still apply.
class ShareTimeline
{
public:
    void schedule(const QuotaAmount &amount, TimePoint effectiveAt);

    [[nodiscard]] QuotaAmount effective(TimePoint now);

    /// True when nothing is owned and no change is pending.
    [[nodiscard]] bool empty() const;

private:
    struct Change {
        QuotaAmount amount;
        TimePoint effectiveAt;
    };

    std::vector<Change> m_changes{{QuotaAmount{}, TimePoint::min()}};
};

} // namespace vanillatack
