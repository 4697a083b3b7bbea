#include "burn/internal/burncounters.h"

#include <algorithm>
#include <tuple>

namespace vanillatack {

namespace {

// Buckets further ahead than this come from a wall clock that was set back; their minutes would be counted wrongly.
constexpr std::int64_t MinutesAheadKept = 5;

std::int64_t minuteOf(WallTime time)
{
    return std::chrono::floor<std::chrono::minutes>(time.time_since_epoch()).count();
}

bool isCallersFault(RefusalKind kind)
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

BurnVerdict judge(const BurnSample &sample, Duration latencyLimit)
{
    const bool late = latencyLimit > Duration::zero() && sample.latency > latencyLimit;
    if (sample.refusal == RefusalKind::None) {
        const bool failed = sample.status < 100 || sample.status >= 500;
        return failed || late ? BurnVerdict::Bad : BurnVerdict::Good;
    }
    if (isCallersFault(sample.refusal) || !sample.insideRate) {
        return BurnVerdict::Neutral;
    }
    // A caller that leaves before the objective's latency has not been served badly.
    if (sample.refusal == RefusalKind::Cancelled && !late) {
        return BurnVerdict::Neutral;
    }
    return BurnVerdict::Bad;
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
    if (m_seriesIndex.size() >= std::min<std::size_t>(m_limits.series, UINT16_MAX)) {
        return 0;
    }
    const auto index = static_cast<std::uint16_t>(m_series.size());
    m_series.push_back(key);
    m_seriesIndex.emplace(key, index);
    return index;
}

void BurnCounters::record(const BurnSample &sample)
{
    const auto limit = m_latencyLimits.find(sample.route);
    const BurnVerdict verdict = judge(sample, limit == m_latencyLimits.end() ? Duration::zero() : limit->second);
    if (verdict == BurnVerdict::Neutral) {
        return;
    }
    Cell wanted;
    wanted.series = seriesOf(sample.route, sample.workspace);
    wanted.good = verdict == BurnVerdict::Good;
    wanted.kind = wanted.good ? RefusalKind::None : sample.refusal;
    const std::int64_t nowMinute = minuteOf(m_clock.wallNow());
    Minute &minute = m_minutes[nowMinute];
    const auto rank = [](const Cell &cell) {
        return std::tuple(cell.series, cell.good, cell.kind);
    };
    auto cell = std::lower_bound(minute.begin(), minute.end(), wanted, [&rank](const Cell &left, const Cell &right) {
        return rank(left) < rank(right);
    });
    if (cell == minute.end() || rank(*cell) != rank(wanted)) {
        cell = minute.insert(cell, wanted);
        ++m_cells;
    }
    ++cell->count;
    dropOutside(nowMinute);
}

void BurnCounters::dropOutside(std::int64_t nowMinute)
{
    const auto drop = [this](auto entry) {
        m_cells -= entry->second.size();
        m_minutes.erase(entry);
    };
    while (m_minutes.rbegin()->first > nowMinute + MinutesAheadKept) {
        drop(std::prev(m_minutes.end()));
    }
    while (m_minutes.begin()->first <= nowMinute - m_limits.minutes) {
        drop(m_minutes.begin());
    }
    while (m_cells > m_limits.cells && m_minutes.size() > 1) {
        drop(m_minutes.begin());
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
        for (const Cell &cell : entry->second) {
            if (cell.series != lastSeries) {
                lastSeries = cell.series;
                const auto &[route, workspace] = m_series[cell.series];
                result.push_back({entry->first, route, workspace, 0, 0, {}, 1});
            }
            BurnBucket &bucket = result.back();
            if (cell.good) {
                bucket.good += cell.count;
            } else {
                bucket.bad += cell.count;
                bucket.refusals[cell.kind] += cell.count;
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
