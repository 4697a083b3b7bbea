#include "attempts/attemptssetup.h"

#include "attempts/internal/retryallowanceledger.h"
#include "attempts/internal/retrybudget.h"

namespace vanillatack {

std::unique_ptr<IRetryAllowanceLedger> makeRetryAllowanceLedger()
{
    return std::make_unique<RetryAllowanceLedger>();
}

std::unique_ptr<IRetryBudget> makeRetryBudget(const IClock &clock, int freeRetries)
{
    return std::make_unique<RetryBudget>(clock, freeRetries);
}

} // namespace vanillatack
