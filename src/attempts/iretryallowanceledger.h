#pragma once

#include "model/ids.h"

namespace vanillatack {

/// Accounts for the retry allowance of every request that this node handles. The allowance delegated to an outgoing
/// call is held in escrow until its reply refunds the unused part, so that the retries of the whole call tree never
/// exceed the allowance of the root request.
class IRetryAllowanceLedger
{
public:
    virtual ~IRetryAllowanceLedger() = default;

    /// Opens a request with the allowance it arrived with; for a root request, the allowance of its route.
    virtual void open(RequestId request, int allowance) = 0;

    /// Starts a call and moves part of the remaining allowance into its escrow. Returns the allowance delegated to the
    /// call, 0 or more.
    virtual int beginCall(RequestId request, CallId call) = 0;

    /// Ends a call whose reply refunds unused allowance. If the refund exceeds the delegated allowance, the reply is
    /// invalid and the whole escrow counts as used.
    virtual void finishCall(RequestId request, CallId call, int refunded) = 0;

    /// Ends a call whose reply was lost. Its whole escrow counts as used.
    virtual void markCallLost(RequestId request, CallId call) = 0;

    /// Acquires one retry from the remaining allowance. Returns false if none remains.
    virtual bool tryAcquireRetry(RequestId request) = 0;

    /// Closes the request. Calls still open count as lost. Returns the unused allowance to refund to the caller.
    virtual int close(RequestId request) = 0;
};

} // namespace vanillatack
