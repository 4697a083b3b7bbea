#pragma once

#include "model/ids.h"

namespace vanillatack {

/// Limits the retries to a service to a percentage of its first attempts, so that retries cannot sustain an overload.
class IRetryBudget
{
public:
    virtual ~IRetryBudget() = default;

    virtual void recordFirstAttempt(const ServiceName &service) = 0;

    /// Acquires one retry. Returns false if it would exceed the ratio plus the free retries, or if the ratio is 0.
    virtual bool tryAcquireRetry(const ServiceName &service) = 0;

    /// Sets the retries allowed per 100 first attempts, clamped to 0 to 100. 0 disables retries.
    virtual void setRatioPercent(int percent) = 0;
};

} // namespace vanillatack
