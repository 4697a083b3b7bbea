#include "burn/internal/burncounters.h"

#include <algorithm>
#include <tuple>

namespace vanillatack {

namespace {

// Buckets further in the future were counted before the wall clock was set back; their minutes would be wrong.
constexpr std::int64_t MaxMinutesAhead = 5;

std::int64_t minuteOf(WallTime time)
{
    return std::chrono::floor<std::chrono::minutes>(time.time_since_epoch()).count();
}

bool isClientError(RefusalKind kind)
{
    switch (kind) {
    case RefusalKind::MalformedRequest:
    case RefusalKind::UnknownRoute:
    case RefusalKind::MissingKey:
    case RefusalKind::UnknownKey:
    case RefusalKind::WithdrawnKey:
    case RefusalKind::InvalidRequestToken:
    case RefusalKind::DuplicateInProgress:
    case RefusalKind::IdempotencyMismatch:
    case RefusalKind::HeadersTooLarge:
    case RefusalKind::BodyTooLarge:
        return true;
    default:
        return false;
    }
}

} // namespace

SampleClass classifySample(const BurnSample &sample, Duration latencyLimit)
{
    const bool late = latencyLimit > Duration::zero() && sample.latency > latencyLimit;
    if (sample.refusal == RefusalKind::None) {
        const bool failed = sample.status < 100 || sample.status >= 500;
        return failed || late ? SampleClass::Bad : SampleClass::Good;
    }
    if (isClientError(sample.refusal) || !sample.withinRate) {
        return SampleClass::Excluded;
    }
    // A request that its caller abandons within the objective's latency has not missed the objective.
    if (sample.refusal == RefusalKind::Cancelled && !late) {
        return SampleClass::Excluded;
    }
    return SampleClass::Bad;
}

BurnCounters::BurnCounters(const IClock &clock, const BurnLimits &limits)
    : m_clock(clock)
    , m_limits(limits)
{
    m_series.emplace_back(RouteName(std::string(OtherSeries)), WorkspaceName(std::string(OtherSeries)));
}

void BurnCounters::setObjectives(const std::vector<Objective> &objectives)
{
    m_latencyLimits.clear();
    for (const Objective &objective : objectives) {
        m_latencyLimits[objective.route] = objective.latency;
    }
}

std::uint16_t BurnCounters::seriesOf(const RouteName &route, const WorkspaceName &workspace)
{
    const std::pair key(route, workspace);
    const auto found = m_seriesIndex.find(key);
    if (found != m_seriesIndex.end()) {
        return found->second;
    }
    if (m_seriesIndex.size() >= std::min<std::size_t>(m_limits.maxSeries, UINT16_MAX)) {
        return 0; // OtherSeries, added by the constructor.
    }
    const auto index = static_cast<std::uint16_t>(m_series.size());
    m_series.push_back(key);
    m_seriesIndex.emplace(key, index);
    return index;
}

void BurnCounters::record(const BurnSample &sample)
{
    const auto limit = m_latencyLimits.find(sample.route);
    const SampleClass sampleClass =
        classifySample(sample, limit == m_latencyLimits.end() ? Duration::zero() : limit->second);
    if (sampleClass == SampleClass::Excluded) {
        return;
    }
    Counter target;
    target.series = seriesOf(sample.route, sample.workspace);
    target.good = sampleClass == SampleClass::Good;
    target.kind = target.good ? RefusalKind::None : sample.refusal;
    const std::int64_t nowMinute = minuteOf(m_clock.wallNow());
    Minute &minute = m_minutes[nowMinute];
    const auto sortKey = [](const Counter &counter) {
        return std::tuple(counter.series, counter.good, counter.kind);
    };
    auto counter =
        std::lower_bound(minute.begin(), minute.end(), target, [&sortKey](const Counter &left, const Counter &right) {
            return sortKey(left) < sortKey(right);
        });
    if (counter == minute.end() || sortKey(*counter) != sortKey(target)) {
        counter = minute.insert(counter, target);
        ++m_counterCount;
    }
    ++counter->count;
    enforceLimits(nowMinute);
}

void BurnCounters::enforceLimits(std::int64_t nowMinute)
{
    const auto removeMinute = [this](auto entry) {
        m_counterCount -= entry->second.size();
        m_minutes.erase(entry);
    };
    while (m_minutes.rbegin()->first > nowMinute + MaxMinutesAhead) {
        removeMinute(std::prev(m_minutes.end()));
    }
    while (m_minutes.begin()->first <= nowMinute - m_limits.retentionMinutes) {
        removeMinute(m_minutes.begin());
    }
    while (m_counterCount > m_limits.maxCounters && m_minutes.size() > 1) {
        removeMinute(m_minutes.begin());
    }
}

std::vector<BurnBucket> BurnCounters::buckets(std::int64_t fromMinute, std::int64_t toMinute) const
{
    std::vector<BurnBucket> result;
    if (fromMinute > toMinute) {
        return result;
    }
    const auto end = m_minutes.upper_bound(toMinute);
    for (auto entry = m_minutes.lower_bound(fromMinute); entry != end; ++entry) {
        int lastSeries = -1;
        for (const Counter &counter : entry->second) {
            if (counter.series != lastSeries) {
                lastSeries = counter.series;
                const auto &[route, workspace] = m_series[counter.series];
                result.push_back({entry->first, route, workspace, 0, 0, {}, 1});
            }
            BurnBucket &bucket = result.back();
            if (counter.good) {
                bucket.good += counter.count;
            } else {
                bucket.bad += counter.count;
                bucket.refusals[counter.kind] += counter.count;
            }
        }
    }
    return result;
}

std::unique_ptr<IBurnCounters> createBurnCounters(const IClock &clock, const BurnLimits &limits)
{
    return std::make_unique<BurnCounters>(clock, limits);
}

std::vector<Objective> objectivesOf(const FleetConfig &config)
{
    std::vector<Objective> objectives;
    for (const auto &[name, route] : config.routes) {
        if (route.objectivePercent > 0) {
            objectives.push_back({name, route.objectivePercent, route.objectiveLatency});
        }
    }
    return objectives;
}

} // namespace vanillatack
