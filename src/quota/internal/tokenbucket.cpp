#include "quota/internal/tokenbucket.h"

#include "base/invariant.h"

namespace vanillatack {

namespace {

constexpr std::int64_t RefillPermille = 999;
constexpr std::int64_t RemainderUnitsPerToken = 1'000'000'000'000; // Nanoseconds per second x 1,000 permille.

} // namespace

void TokenBucket::refill(TimePoint now, const QuotaAmount &amount)
{
    if (now <= m_refilledAt) {
        return;
    }
    const WideInteger gained =
        WideInteger{std::max<std::int64_t>(0, amount.rate)} * RefillPermille * (now - m_refilledAt).count()
        + m_remainder;
    m_refilledAt = now;
    if (gained / RemainderUnitsPerToken >= std::max<std::int64_t>(0, amount.burst) - m_tokens) {
        m_tokens = std::max<std::int64_t>(0, amount.burst);
        m_remainder = 0;
        return;
    }
    m_tokens += static_cast<std::int64_t>(gained / RemainderUnitsPerToken);
    m_remainder = static_cast<std::int64_t>(gained % RemainderUnitsPerToken);
}

void TokenBucket::clampTo(std::int64_t capacity)
{
    if (m_tokens >= std::max<std::int64_t>(0, capacity)) {
        m_tokens = std::max<std::int64_t>(0, capacity);
        m_remainder = 0;
    }
}

void TokenBucket::add(std::int64_t tokens)
{
    VT_INVARIANT(tokens >= 0, "A negative number of tokens is added to a bucket.");
    m_tokens += tokens;
}

void TokenBucket::remove(std::int64_t tokens)
{
    VT_INVARIANT(tokens >= 0 && tokens <= m_tokens,
                 "A negative number of tokens, or more than the bucket holds, is removed.");
    m_tokens -= tokens;
}

} // namespace vanillatack
