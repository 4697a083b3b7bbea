#include "attempts/internal/retrybudget.h"

#include <algorithm>

namespace vanillatack {

RetryBudget::RetryBudget(const IClock &clock, int freeRetries)
    : m_clock(clock)
    , m_freeRetries(freeRetries)
{
}

void RetryBudget::recordFirstAttempt(const ServiceName &service)
{
    ++bucketAt(m_services[service], currentSecond()).firstAttempts;
}

bool RetryBudget::tryAcquireRetry(const ServiceName &service)
{
    if (m_ratioPercent == 0) {
        return false;
    }
    const std::int64_t now = currentSecond();
    Buckets &buckets = m_services[service];
    std::int64_t firstAttempts = 0;
    std::int64_t retries = 0;
    for (const Bucket &bucket : buckets) {
        // Sums retries over more than 10 s and first attempts over less, so that the bound holds for every window of
        // 10 s, not only for windows aligned to buckets.
        if (bucket.second > now - BucketCount) {
            retries += bucket.retries;
        }
        if (bucket.second > now - WindowSeconds) {
            firstAttempts += bucket.firstAttempts;
        }
    }
    const std::int64_t allowedHundredths = firstAttempts * m_ratioPercent + 100LL * m_freeRetries;
    if ((retries + 1) * 100 > allowedHundredths) {
        return false;
    }
    ++bucketAt(buckets, now).retries;
    return true;
}

void RetryBudget::setRatioPercent(int percent)
{
    m_ratioPercent = std::clamp(percent, 0, 100);
}

std::int64_t RetryBudget::currentSecond() const
{
    return std::chrono::floor<std::chrono::seconds>(m_clock.now().time_since_epoch()).count();
}

RetryBudget::Bucket &RetryBudget::bucketAt(Buckets &buckets, std::int64_t second)
{
    Bucket &bucket = buckets[static_cast<std::size_t>(second % BucketCount)];
    if (bucket.second != second) {
        bucket = Bucket{.second = second, .firstAttempts = 0, .retries = 0};
    }
    return bucket;
}

} // namespace vanillatack
