#include "attempts/attemptssetup.h"

#include "attempts/internal/attemptledger.h"
#include "attempts/internal/retrybudget.h"

namespace vanillatack {

std::unique_ptr<IAttemptLedger> makeAttemptLedger()
{
    return std::make_unique<AttemptLedger>();
}

std::unique_ptr<IRetryBudget> makeRetryBudget(const IClock &clock, int freeRetries)
{
    return std::make_unique<RetryBudget>(clock, freeRetries);
}

} // namespace vanillatack
