#pragma once

#include "burn/burnsetup.h"

namespace vanillatack {

/// How a request counts towards the objective.
enum class SampleClass {
    Good,
    Bad,
    Excluded, ///< Not counted: client error, refused over the caller's rate, or cancelled before it was late.
};

SampleClass classifySample(const BurnSample &sample, Duration latencyLimit);

class BurnCounters final : public IBurnCounters
{
public:
    BurnCounters(const IClock &clock, const BurnLimits &limits);

    void setObjectives(const std::vector<Objective> &objectives) override;
    void record(const BurnSample &sample) override;
    [[nodiscard]] std::vector<BurnBucket> buckets(std::int64_t fromMinute, std::int64_t toMinute) const override;

private:
    struct Counter {
        std::uint16_t series = 0;
        RefusalKind kind = RefusalKind::None;
        bool good = false;
        std::uint64_t count = 0;
    };

    using Minute = std::vector<Counter>; ///< Ordered by series, good and kind.

    std::uint16_t seriesOf(const RouteName &route, const WorkspaceName &workspace);
    void enforceLimits(std::int64_t nowMinute);

    const IClock &m_clock;
    BurnLimits m_limits;
    std::map<RouteName, Duration> m_latencyLimits;
    std::vector<std::pair<RouteName, WorkspaceName>> m_series;
    std::map<std::pair<RouteName, WorkspaceName>, std::uint16_t> m_seriesIndex;
    std::map<std::int64_t, Minute> m_minutes;
    std::size_t m_counterCount = 0;
};

} // namespace vanillatack
