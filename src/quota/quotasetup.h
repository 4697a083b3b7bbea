#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "quota/iquota.h"

#include <memory>

namespace vanillatack {

struct QuotaSettings {
    Duration term = std::chrono::seconds(2); ///< Longest loan.
    Duration driftMargin = std::chrono::milliseconds(50); ///< Added to the 0.1% drift that each clock may have.
    Duration raiseDelay = std::chrono::seconds(10); ///< Before higher amounts of a configuration hold.
    /// Before a started node uses or lends its share. The configuration it finds may be so new that other owners still
    /// use larger shares of an earlier one, so it counts as a raise; at least one term plus the drift margin.
    Duration startHold = std::chrono::seconds(10);
    /// A node that did not run for longer than pauseLimit may have missed a change of its share, and does not use it
    /// for shareHold, the time within which it learns a configuration. pauseLimit + shareHold + term must stay below
    /// raiseDelay.
    Duration pauseLimit = std::chrono::seconds(2);
    Duration shareHold = std::chrono::seconds(5);
    int requestsPerSecond = 2000; ///< Borrow requests that an owner answers; the others are dropped.
};

/// The sender, listener, clock and random source must outlive the quota.
std::unique_ptr<IQuota> makeQuota(IClock &clock,
                                  IRandom &random,
                                  IMessageSender &sender,
                                  IQuotaListener &listener,
                                  const NodeName &self,
                                  const Endpoint &endpoint,
                                  std::uint64_t incarnation,
                                  const QuotaSettings &settings = {});

} // namespace vanillatack
