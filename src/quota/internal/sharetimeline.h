#pragma once

#include "quota/internal/tokenbucket.h"

#include <vector>

namespace vanillatack {

/// Amounts of the own share over changes of configuration. An amount is in force a delay after it was learned; until
/// then the lowest of it and all amounts since the one in force holds, so that an owner never uses more than any
/// configuration that other owners may have in force gives it.
class ShareTimeline
{
public:
    void learn(const QuotaAmount &amount, TimePoint forceAt);

    [[nodiscard]] QuotaAmount effective(TimePoint now);

    /// Nothing is owned and no change is pending.
    [[nodiscard]] bool empty() const;

private:
    struct Change {
        QuotaAmount amount;
        TimePoint forceAt;
    };

    std::vector<Change> m_changes{{QuotaAmount{}, TimePoint::min()}};
};

} // namespace vanillatack
