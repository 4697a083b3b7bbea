#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "quota/iquota.h"

#include <memory>

namespace vanillatack {

struct QuotaSettings {
    Duration maxLoanTerm = std::chrono::seconds(2);
    /// Added to the term of a loan at the lender, on top of 0.25% for clock drift.
    Duration driftMargin = std::chrono::milliseconds(50);
    /// Delay before a higher amount of a new configuration takes effect.
    Duration increaseDelay = std::chrono::seconds(10);
    /// Time before a started node uses or lends its share. Other owners may still use larger shares of an earlier
    /// configuration, so the first configuration is treated as an increase. At least one loan term with clock drift and
    /// drift margin.
    Duration startupDelay = std::chrono::seconds(10);
    /// A node that was paused for longer than pauseLimit may have missed a change of its share, so it does not use the
    /// share for shareSuspension, within which it receives the current configuration.
    /// pauseLimit + shareSuspension + maxLoanTerm + driftMargin must be below increaseDelay.
    Duration pauseLimit = std::chrono::seconds(2);
    Duration shareSuspension = std::chrono::seconds(5);
    int maxBorrowRequestsPerSecond = 2000; ///< Rate limit of borrow requests at an owner; the excess is dropped.
};

/// The clock, random source, sender and listener must outlive the returned object.
std::unique_ptr<IQuota> makeQuota(IClock &clock,
                                  IRandom &random,
                                  IMessageSender &sender,
                                  IQuotaListener &listener,
                                  const NodeName &self,
                                  const Endpoint &endpoint,
                                  std::uint64_t incarnation,
                                  const QuotaSettings &settings = {});

} // namespace vanillatack
