#pragma once

#include "attempts/iattemptledger.h"
#include "attempts/iretrybudget.h"
#include "base/clock.h"

#include <memory>

namespace vanillatack {

/// Creates an empty ledger. Calls and retries of a request that is not open get nothing and return nothing.
std::unique_ptr<IAttemptLedger> makeAttemptLedger();

/// Retries of each service in any 10 s that need no first attempts, so that a service with little traffic gets some.
inline constexpr int DefaultFreeRetries = 10;

/// Creates a budget with a ratio of 10%. The clock must outlive it.
std::unique_ptr<IRetryBudget> makeRetryBudget(const IClock &clock, int freeRetries = DefaultFreeRetries);

} // namespace vanillatack
