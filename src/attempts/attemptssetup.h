#pragma once

#include "attempts/iretryallowanceledger.h"
#include "attempts/iretrybudget.h"
#include "base/clock.h"

#include <memory>

namespace vanillatack {

/// Creates an empty ledger. For a request that is not open, calls get an allowance of 0 and retries are denied.
std::unique_ptr<IRetryAllowanceLedger> makeRetryAllowanceLedger();

/// Retries to each service that are allowed in any 10 s regardless of the ratio, so that requests to services with
/// little traffic can be retried at all.
inline constexpr int DefaultFreeRetries = 10;

/// Creates a retry budget with a ratio of 10%. The clock must outlive it.
std::unique_ptr<IRetryBudget> makeRetryBudget(const IClock &clock, int freeRetries = DefaultFreeRetries);

} // namespace vanillatack
