#pragma once

#include "burn/burnsetup.h"

namespace vanillatack {

/// Whether a request counts against the objective.
enum class BurnVerdict {
    Good,
    Bad,
    Neutral, ///< The caller's fault, or refused over its rate.
};

BurnVerdict judge(const BurnSample &sample, Duration latencyLimit);

class BurnCounters final : public IBurnCounters
{
public:
    BurnCounters(const IClock &clock, const BurnLimits &limits);

    void setObjectives(const std::vector<Objective> &objectives) override;
    void record(const BurnSample &sample) override;
    [[nodiscard]] std::vector<BurnBucket> buckets(std::int64_t fromMinute, std::int64_t toMinute) const override;

private:
    struct Cell {
        std::uint16_t series = 0;
        RefusalKind kind = RefusalKind::None;
        bool good = false;
        std::uint64_t count = 0;
    };

    using Minute = std::vector<Cell>; ///< Ordered by series, good and kind.

    std::uint16_t seriesOf(const RouteName &route, const WorkspaceName &workspace);
    void dropOutside(std::int64_t nowMinute);

    const IClock &m_clock;
    BurnLimits m_limits;
    std::map<RouteName, Duration> m_latencyLimits;
    std::vector<std::pair<RouteName, WorkspaceName>> m_series;
    std::map<std::pair<RouteName, WorkspaceName>, std::uint16_t> m_seriesIndex;
    std::map<std::int64_t, Minute> m_minutes;
    std::size_t m_cells = 0;
};

} // namespace vanillatack
