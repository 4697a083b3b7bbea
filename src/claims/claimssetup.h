#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "claims/iclaims.h"
#include "store/itableservice.h"

#include <memory>

namespace vanillatack {

struct ClaimsSettings {
    Duration retention = std::chrono::hours(24); ///< How long claims and stored answers are kept.
    Duration maxBatchDelay = std::chrono::milliseconds(10); ///< Longest time that a write waits for its batch to fill.
    std::size_t maxBatchSize = 64; ///< Writes in one transaction.
    std::size_t maxBatchBytes = 1'000'000; ///< Value bytes in one transaction; a single larger value is still written.
    std::size_t maxTransactionsInFlight = 8;
    Duration claimTimeout = std::chrono::seconds(1); ///< Longest wait for a claim, even if its deadline is later.
    Duration tableTimeout = std::chrono::seconds(2); ///< Time limit for one table request.
    std::size_t maxStoredBodyBytes = 65'536; ///< Larger answers are not stored; a retry gets InProgress.
    std::size_t maxPendingAnswers = 2'000; ///< Answers waiting to be written to the table.
    /// Limit on the body bytes of pending answers; above it, answers are not stored and a retry gets InProgress.
    std::size_t maxPendingAnswerBytes = 8'000'000;
    Duration sweepInterval = std::chrono::minutes(10); ///< Mean interval between scans for expired rows, one page each.
};

/// The clock, random source and table must outlive the returned object.
std::unique_ptr<IClaims> makeClaims(IClock &clock,
                                    IRandom &random,
                                    ITableService &table,
                                    const NodeName &self,
                                    std::uint64_t incarnation,
                                    const ClaimsSettings &settings = {});

} // namespace vanillatack
