#pragma once

#include "attempts/iretryallowanceledger.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

namespace vanillatack {

class RetryAllowanceLedger final : public IRetryAllowanceLedger
{
public:
    void open(RequestId request, int allowance) override;
    int beginCall(RequestId request, CallId call) override;
    void finishCall(RequestId request, CallId call, int refunded) override;
    void markCallLost(RequestId request, CallId call) override;
    bool tryAcquireRetry(RequestId request) override;
    int close(RequestId request) override;

private:
    struct Escrow {
        CallId call;
        int amount = 0;
    };

    /// Invariant: initial = remaining + used + sum of the escrows.
    struct Entry {
        int initial = 0;
        int remaining = 0;
        int used = 0;
        absl::InlinedVector<Escrow, 2> calls;
    };

    static void checkBalance(const Entry &entry);

    absl::flat_hash_map<RequestId, Entry> m_entries;
};

} // namespace vanillatack
