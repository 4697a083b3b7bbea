#include "attempts/internal/attemptledger.h"

#include "base/invariant.h"

#include <algorithm>

namespace vanillatack {

void AttemptLedger::open(RequestId request, int allowance)
{
    const auto [position, inserted] = m_entries.try_emplace(request);
    VT_INVARIANT(inserted, "a request is opened once");
    position->second.opened = std::max(0, allowance);
    position->second.rest = position->second.opened;
}

int AttemptLedger::beginCall(RequestId request, CallId call)
{
    const auto found = m_entries.find(request);
    if (found == m_entries.end()) {
        return 0;
    }
    Entry &entry = found->second;
    for (const Escrow &escrow : entry.calls) {
        VT_INVARIANT(escrow.call != call, "call ids of a request are distinct while the calls are open");
    }
    // The larger half goes down: the failure is more often somewhere below than at this hop, and the unused part
    // returns with the reply. Parallel calls split the remainder the same way.
    const int part = entry.rest - entry.rest / 2;
    entry.rest -= part;
    entry.calls.push_back({call, part});
    checkBalance(entry);
    return part;
}

void AttemptLedger::finishCall(RequestId request, CallId call, int returned)
{
    const auto found = m_entries.find(request);
    if (found == m_entries.end()) {
        return;
    }
    Entry &entry = found->second;
    auto *const escrow = std::find_if(entry.calls.begin(), entry.calls.end(), [call](const Escrow &open) {
        return open.call == call;
    });
    // Replies can arrive twice, or after the call was counted as lost.
    if (escrow == entry.calls.end()) {
        return;
    }
    // A reply that returns more than was handed down is wrong, and its true remainder is unknown. Counting it as all
    // unused would create allowance when the part was spent.
    const int unused = returned > escrow->amount ? 0 : std::max(0, returned);
    entry.rest += unused;
    entry.spent += escrow->amount - unused;
    entry.calls.erase(escrow);
    checkBalance(entry);
}

void AttemptLedger::markCallLost(RequestId request, CallId call)
{
    finishCall(request, call, 0);
}

bool AttemptLedger::tryAcquireRetry(RequestId request)
{
    const auto found = m_entries.find(request);
    if (found == m_entries.end() || found->second.rest == 0) {
        return false;
    }
    --found->second.rest;
    ++found->second.spent;
    checkBalance(found->second);
    return true;
}

int AttemptLedger::close(RequestId request)
{
    const auto found = m_entries.find(request);
    if (found == m_entries.end()) {
        return 0;
    }
    const int rest = found->second.rest;
    m_entries.erase(found);
    return rest;
}

void AttemptLedger::checkBalance(const Entry &entry)
{
    int escrowed = 0;
    for (const Escrow &escrow : entry.calls) {
        escrowed += escrow.amount;
    }
    VT_INVARIANT(entry.rest >= 0 && entry.opened == entry.rest + entry.spent + escrowed,
                 "retry allowance is neither created nor lost");
}

} // namespace vanillatack
