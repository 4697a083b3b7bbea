#pragma once

#include "attempts/iattemptledger.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

namespace vanillatack {

class AttemptLedger final : public IAttemptLedger
{
public:
    void open(RequestId request, int allowance) override;
    int beginCall(RequestId request, CallId call) override;
    void finishCall(RequestId request, CallId call, int returned) override;
    void markCallLost(RequestId request, CallId call) override;
    bool tryAcquireRetry(RequestId request) override;
    int close(RequestId request) override;

private:
    struct Escrow {
        CallId call;
        int amount = 0;
    };

    /// At any time opened = rest + spent + sum of the escrows.
    struct Entry {
        int opened = 0;
        int rest = 0;
        int spent = 0;
        absl::InlinedVector<Escrow, 2> calls;
    };

    static void checkBalance(const Entry &entry);

    absl::flat_hash_map<RequestId, Entry> m_entries;
};

} // namespace vanillatack
