#pragma once

#include "attempts/iretrybudget.h"
#include "base/clock.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>

namespace vanillatack {

/// Counts attempts per service in buckets of 1 s. In any window of 10 s, the retries do not exceed the ratio of the
/// first attempts in that window plus the free retries.
class RetryBudget final : public IRetryBudget
{
public:
    RetryBudget(const IClock &clock, int freeRetries);

    void recordFirstAttempt(const ServiceName &service) override;
    bool tryAcquireRetry(const ServiceName &service) override;
    void setRatioPercent(int percent) override;

private:
    static constexpr int WindowSeconds = 10;
    /// One bucket more than the window, since the bucket of the current second is incomplete.
    static constexpr int BucketCount = WindowSeconds + 1;

    struct Bucket {
        std::int64_t second = -1; ///< Second of the clock that the bucket counts; -1 if unused.
        std::int64_t firstAttempts = 0;
        std::int64_t retries = 0;
    };
    using Buckets = std::array<Bucket, BucketCount>;

    [[nodiscard]] std::int64_t currentSecond() const;
    static Bucket &bucketAt(Buckets &buckets, std::int64_t second);

    const IClock &m_clock;
    int m_freeRetries;
    int m_ratioPercent = 10;
    absl::flat_hash_map<ServiceName, Buckets> m_services;
};

} // namespace vanillatack
