#pragma once

#include "model/ids.h"

namespace vanillatack {

/// Limits retries to a service to a share of first attempts, so that retries cannot keep up an overload.
class IRetryBudget
{
public:
    virtual ~IRetryBudget() = default;

    virtual void recordFirstAttempt(const ServiceName &service) = 0;

    /// Takes one retry when the ratio allows it.
    virtual bool tryAcquireRetry(const ServiceName &service) = 0;

    /// Retries per 100 first attempts, 0 to 100.
    virtual void setRatioPercent(int percent) = 0;
};

} // namespace vanillatack
