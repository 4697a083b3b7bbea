#include "attempts/internal/retryallowanceledger.h"

#include "base/invariant.h"

#include <algorithm>

namespace vanillatack {

void RetryAllowanceLedger::open(RequestId request, int allowance)
{
    const auto [position, inserted] = m_entries.try_emplace(request);
    VT_INVARIANT(inserted, "a request is opened only once");
    position->second.initial = std::max(0, allowance);
    position->second.remaining = position->second.initial;
}

int RetryAllowanceLedger::beginCall(RequestId request, CallId call)
{
    const auto found = m_entries.find(request);
    if (found == m_entries.end()) {
        return 0;
    }
    Entry &entry = found->second;
    for (const Escrow &escrow : entry.calls) {
        VT_INVARIANT(escrow.call != call, "open calls of a request have distinct ids");
    }
    // Delegates the larger half, since failures are more often downstream than at this hop, and the reply refunds the
    // unused part. Further parallel calls halve the remainder in the same way.
    const int delegated = entry.remaining - entry.remaining / 2;
    entry.remaining -= delegated;
    entry.calls.push_back({call, delegated});
    checkBalance(entry);
    return delegated;
}

void RetryAllowanceLedger::finishCall(RequestId request, CallId call, int refunded)
{
    const auto found = m_entries.find(request);
    if (found == m_entries.end()) {
        return;
    }
    Entry &entry = found->second;
    auto *const escrow = std::find_if(entry.calls.begin(), entry.calls.end(), [call](const Escrow &open) {
        return open.call == call;
    });
    // Ignores duplicate replies and replies to calls already marked as lost.
    if (escrow == entry.calls.end()) {
        return;
    }
    // A refund above the delegated allowance is invalid, and the unused amount is unknown. Refunding the whole escrow
    // could create allowance, since part of it may have been used.
    const int unused = refunded > escrow->amount ? 0 : std::max(0, refunded);
    entry.remaining += unused;
    entry.used += escrow->amount - unused;
    entry.calls.erase(escrow);
    checkBalance(entry);
}

void RetryAllowanceLedger::markCallLost(RequestId request, CallId call)
{
    finishCall(request, call, 0);
}

bool RetryAllowanceLedger::tryAcquireRetry(RequestId request)
{
    const auto found = m_entries.find(request);
    if (found == m_entries.end() || found->second.remaining == 0) {
        return false;
    }
    --found->second.remaining;
    ++found->second.used;
    checkBalance(found->second);
    return true;
}

int RetryAllowanceLedger::close(RequestId request)
{
    const auto found = m_entries.find(request);
    if (found == m_entries.end()) {
        return 0;
    }
    const int remaining = found->second.remaining;
    m_entries.erase(found);
    return remaining;
}

void RetryAllowanceLedger::checkBalance(const Entry &entry)
{
    int escrowed = 0;
    for (const Escrow &escrow : entry.calls) {
        escrowed += escrow.amount;
    }
    VT_INVARIANT(entry.remaining >= 0 && entry.initial == entry.remaining + entry.used + escrowed,
                 "retry allowance is neither created nor lost");
}

} // namespace vanillatack
