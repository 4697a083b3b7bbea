#include "rootadmission/rateledger.h"

#include "base/durations.h"

#include <algorithm>

namespace vanillatack {

namespace {

/// Part of the tolerance that a full bucket holds above the burst. The rest covers requests that were let in and are
/// still under way, and owners that change.
constexpr double StoredTolerance = 0.35;
/// Part of the tolerance with which a node begins that becomes the owner. What the owner before it has dealt out lately
/// is not known.
constexpr double FirstTolerance = 0.2;
/// Part of the tolerance that a node deals out in one window while nothing is pledged to it. It is asked then because
/// the owner does not answer; the pledges follow once the owner counts as silent.
constexpr double UnpledgedTolerance = 0.15;

} // namespace

RateLedger::RateLedger(const RateTolerance &tolerance)
    : m_tolerance(tolerance)
{
}

void RateLedger::setLimits(std::map<WorkspaceName, RateLimit> limits)
{
    std::erase_if(m_buckets, [&limits](const auto &entry) {
        return !limits.contains(entry.first);
    });
    for (const auto &[workspace, limit] : limits) {
        Bucket &bucket = m_buckets[workspace];
        bucket.limit = limit;
        bucket.tokens = std::min(bucket.tokens, capacity(bucket));
    }
}

void RateLedger::setPledged(const WorkspaceName &workspace, double part, TimePoint now)
{
    const auto entry = m_buckets.find(workspace);
    if (entry == m_buckets.end()) {
        return;
    }
    Bucket &bucket = entry->second;
    fill(bucket, now);
    if (bucket.part == 0 && part > 0) {
        bucket.tokens = std::max(bucket.tokens, FirstTolerance * beyond(bucket.limit) * part);
    }
    bucket.part = part;
    bucket.tokens = std::min(bucket.tokens, capacity(bucket));
}

void RateLedger::fill(Bucket &bucket, TimePoint now) const
{
    if (bucket.filledAt == TimePoint{}) {
        bucket.tokens = bucket.part == 0 ? capacity(bucket) : bucket.tokens;
    } else {
        bucket.tokens += perSecond(bucket) * toSeconds(now - bucket.filledAt);
    }
    bucket.filledAt = now;
    bucket.tokens = std::min(bucket.tokens, capacity(bucket));
}

double RateLedger::beyond(const RateLimit &limit) const
{
    return m_tolerance.share * (limit.ratePerSecond * m_tolerance.windowSeconds + limit.burst) + m_tolerance.requests;
}

double RateLedger::perSecond(const Bucket &bucket) const
{
    return bucket.part == 0 ? capacity(bucket) / m_tolerance.windowSeconds : bucket.limit.ratePerSecond * bucket.part;
}

double RateLedger::capacity(const Bucket &bucket) const
{
    if (bucket.part == 0) {
        return UnpledgedTolerance * beyond(bucket.limit);
    }
    return std::max((bucket.limit.burst + StoredTolerance * beyond(bucket.limit)) * bucket.part, 1.0);
}

TokenGrant RateLedger::take(const WorkspaceName &workspace, int wanted, TimePoint now)
{
    const auto entry = m_buckets.find(workspace);
    if (entry == m_buckets.end() || wanted <= 0) {
        return {};
    }
    Bucket &bucket = entry->second;
    fill(bucket, now);
    TokenGrant grant;
    grant.granted = std::clamp(static_cast<int>(bucket.tokens), 0, wanted);
    bucket.tokens -= grant.granted;
    if (grant.granted < wanted) {
        const double rate = perSecond(bucket);
        grant.dryFor = rate > 0 ? fromSeconds((1 - bucket.tokens) / rate) : fromSeconds(m_tolerance.windowSeconds);
    }
    return grant;
}

void RateLedger::giveBack(const WorkspaceName &workspace, int count, TimePoint now)
{
    const auto entry = m_buckets.find(workspace);
    if (entry == m_buckets.end()) {
        return;
    }
    Bucket &bucket = entry->second;
    fill(bucket, now);
    bucket.tokens = std::min(bucket.tokens + count, capacity(bucket));
}

double RateLedger::pledged(const WorkspaceName &workspace) const
{
    const auto entry = m_buckets.find(workspace);
    return entry == m_buckets.end() ? 0 : entry->second.part;
}

} // namespace vanillatack
