#include "rootadmission/workspacetokenbuckets.h"

#include "base/durations.h"

#include <algorithm>

namespace vanillatack {

namespace {

/// Share of the tolerance that a full bucket holds above the burst. The rest covers admitted requests that are still in
/// flight, and changes of owner.
constexpr double BucketToleranceShare = 0.35;
/// Share of the tolerance that a new owner starts with, because it does not know how many tokens the previous owner has
/// granted recently.
constexpr double InitialToleranceShare = 0.2;
/// Share of the tolerance that a node grants per window while no share is pledged to it. It is then asked because the
/// owner does not answer; the pledges follow once the owner is considered unresponsive.
constexpr double UnpledgedToleranceShare = 0.15;

} // namespace

WorkspaceTokenBuckets::WorkspaceTokenBuckets(const RateTolerance &tolerance)
    : m_tolerance(tolerance)
{
}

void WorkspaceTokenBuckets::setLimits(std::map<WorkspaceName, RateLimit> limits)
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

void WorkspaceTokenBuckets::setPledgedShare(const WorkspaceName &workspace, double share, TimePoint now)
{
    const auto entry = m_buckets.find(workspace);
    if (entry == m_buckets.end()) {
        return;
    }
    Bucket &bucket = entry->second;
    refill(bucket, now);
    if (bucket.pledgedShare == 0 && share > 0) {
        bucket.tokens = std::max(bucket.tokens, InitialToleranceShare * toleratedExcess(bucket.limit) * share);
    }
    bucket.pledgedShare = share;
    bucket.tokens = std::min(bucket.tokens, capacity(bucket));
}

void WorkspaceTokenBuckets::refill(Bucket &bucket, TimePoint now) const
{
    if (bucket.refilledAt == TimePoint{}) {
        bucket.tokens = bucket.pledgedShare == 0 ? capacity(bucket) : bucket.tokens;
    } else {
        bucket.tokens += refillPerSecond(bucket) * toSeconds(now - bucket.refilledAt);
    }
    bucket.refilledAt = now;
    bucket.tokens = std::min(bucket.tokens, capacity(bucket));
}

double WorkspaceTokenBuckets::toleratedExcess(const RateLimit &limit) const
{
    return m_tolerance.share * (limit.ratePerSecond * m_tolerance.windowSeconds + limit.burst) + m_tolerance.requests;
}

double WorkspaceTokenBuckets::refillPerSecond(const Bucket &bucket) const
{
    return bucket.pledgedShare == 0 ? capacity(bucket) / m_tolerance.windowSeconds
                                    : bucket.limit.ratePerSecond * bucket.pledgedShare;
}

double WorkspaceTokenBuckets::capacity(const Bucket &bucket) const
{
    if (bucket.pledgedShare == 0) {
        return UnpledgedToleranceShare * toleratedExcess(bucket.limit);
    }
    return std::max((bucket.limit.burst + BucketToleranceShare * toleratedExcess(bucket.limit)) * bucket.pledgedShare,
                    1.0);
}

TokenGrant WorkspaceTokenBuckets::acquire(const WorkspaceName &workspace, int wanted, TimePoint now)
{
    const auto entry = m_buckets.find(workspace);
    if (entry == m_buckets.end() || wanted <= 0) {
        return {};
    }
    Bucket &bucket = entry->second;
    refill(bucket, now);
    TokenGrant grant;
    grant.granted = std::clamp(static_cast<int>(bucket.tokens), 0, wanted);
    bucket.tokens -= grant.granted;
    if (grant.granted < wanted) {
        const double rate = refillPerSecond(bucket);
        grant.dryFor = rate > 0 ? fromSeconds((1 - bucket.tokens) / rate) : fromSeconds(m_tolerance.windowSeconds);
    }
    return grant;
}

void WorkspaceTokenBuckets::refund(const WorkspaceName &workspace, int count, TimePoint now)
{
    const auto entry = m_buckets.find(workspace);
    if (entry == m_buckets.end()) {
        return;
    }
    Bucket &bucket = entry->second;
    refill(bucket, now);
    bucket.tokens = std::min(bucket.tokens + count, capacity(bucket));
}

double WorkspaceTokenBuckets::pledgedShare(const WorkspaceName &workspace) const
{
    const auto entry = m_buckets.find(workspace);
    return entry == m_buckets.end() ? 0 : entry->second.pledgedShare;
}

} // namespace vanillatack
