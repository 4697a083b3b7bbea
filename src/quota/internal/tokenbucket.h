#pragma once

#include "base/clock.h"

#include <algorithm>
#include <cstdint>

namespace vanillatack {

/// Rate in tokens per second with its bucket capacity in tokens.
struct QuotaAmount {
    std::int64_t rate = 0;
    std::int64_t burst = 0;

    bool operator==(const QuotaAmount &) const = default;

    QuotaAmount &operator+=(const QuotaAmount &other)
    {
        rate += other.rate;
        burst += other.burst;
        return *this;
    }

    QuotaAmount &operator-=(const QuotaAmount &other)
    {
        rate -= other.rate;
        burst -= other.burst;
        return *this;
    }

    friend QuotaAmount operator+(QuotaAmount left, const QuotaAmount &right)
    {
        return left += right;
    }

    friend QuotaAmount operator-(QuotaAmount left, const QuotaAmount &right)
    {
        return left -= right;
    }

    /// True when neither rate nor burst is positive.
    [[nodiscard]] bool isEmpty() const
    {
        return rate <= 0 && burst <= 0;
    }
};

inline QuotaAmount componentMin(const QuotaAmount &left, const QuotaAmount &right)
{
    return {std::min(left.rate, right.rate), std::min(left.burst, right.burst)};
}

inline QuotaAmount componentMax(const QuotaAmount &left, const QuotaAmount &right)
{
    return {std::max(left.rate, right.rate), std::max(left.burst, right.burst)};
}

__extension__ using WideInteger = __int128;

/// value x numerator / denominator without intermediate overflow, rounded toward zero; 0 if denominator <= 0.
inline std::int64_t scaled(std::int64_t value, std::int64_t numerator, std::int64_t denominator)
{
    return denominator <= 0 ? 0 : static_cast<std::int64_t>(WideInteger{value} * numerator / denominator);
}

/// Integer token bucket. Refills at 99.9% of the rate, because the local clock may run 0.1% fast.
class TokenBucket
{
public:
    [[nodiscard]] std::int64_t tokens() const
    {
        return m_tokens;
    }

    void refill(TimePoint now, const QuotaAmount &amount);
    void clampTo(std::int64_t capacity);
    void add(std::int64_t tokens);
    void remove(std::int64_t tokens);

private:
    std::int64_t m_tokens = 0;
    std::int64_t m_remainder = 0; ///< Fraction of a token, in units of 10^-12.
    TimePoint m_refilledAt;
};

} // namespace vanillatack
