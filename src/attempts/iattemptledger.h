#pragma once

#include "model/ids.h"

namespace vanillatack {

/// Keeps the retry allowance of every request that this node handles. Handed-down parts are held in escrow until the
/// reply returns what was not used, so that the sum over the whole chain never exceeds the allowance of the root.
class IAttemptLedger
{
public:
    virtual ~IAttemptLedger() = default;

    /// Starts a request with the allowance it arrived with (the route's for a root request).
    virtual void open(RequestId request, int allowance) = 0;

    /// Starts a call and moves part of the rest into its escrow. Returns the part to hand down, 0 or more.
    virtual int beginCall(RequestId request, CallId call) = 0;

    /// Ends a call whose reply returned a part. A reply that returns more than was handed down is wrong, so all of its
    /// escrow counts as used.
    virtual void finishCall(RequestId request, CallId call, int returned) = 0;

    /// Ends a call whose reply is lost: all of its escrow counts as used.
    virtual void markCallLost(RequestId request, CallId call) = 0;

    /// Takes one retry of this node from the rest; false when nothing is left.
    virtual bool tryAcquireRetry(RequestId request) = 0;

    /// Ends the request. Calls still open count as lost. Returns the part to give back to the caller.
    virtual int close(RequestId request) = 0;
};

} // namespace vanillatack
