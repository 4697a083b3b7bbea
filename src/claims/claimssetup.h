#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "claims/iclaims.h"
#include "store/itableservice.h"

#include <memory>

namespace vanillatack {

struct ClaimsSettings {
    Duration retention = std::chrono::hours(24); ///< Of claims and answers.
    Duration batchDelay = std::chrono::milliseconds(10); ///< Longest wait for more writes.
    std::size_t batchSize = 64; ///< Writes in one transaction.
    std::size_t batchBytes = 1'000'000; ///< Values in one transaction, unless one value alone is larger.
    std::size_t transactionsInFlight = 8;
    Duration patience = std::chrono::seconds(1); ///< Until a claim is given up although its deadline has not passed.
    Duration tableTimeout = std::chrono::seconds(2); ///< After this an answer counts as lost.
    std::size_t storedBodyLimit = 65'536; ///< Larger bodies are not stored; a repeat only learns that it ran.
    std::size_t pendingAnswers = 2'000; ///< Answers that wait for the table.
    std::size_t pendingAnswerBytes = 8'000'000; ///< Bodies of these; above, answers are stored without a body.
    Duration sweepInterval = std::chrono::minutes(10); ///< Between looks for expired rows, one page each.
};

/// The clock, random source and table must outlive the claims.
std::unique_ptr<IClaims> makeClaims(IClock &clock,
                                    IRandom &random,
                                    ITableService &table,
                                    const NodeName &self,
                                    std::uint64_t incarnation,
                                    const ClaimsSettings &settings = {});

} // namespace vanillatack
