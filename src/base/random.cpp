#include "base/random.h"

#include <absl/strings/str_cat.h>
#include <openssl/rand.h>

#include <cstdlib>
#include <utility>

namespace vanillatack {

std::uint64_t IRandom::below(std::uint64_t bound)
{
    // Values from the largest multiple of bound upwards would bias the result towards small numbers.
    const std::uint64_t limit = UINT64_MAX - UINT64_MAX % bound;
    std::uint64_t value = next();
    while (value >= limit) {
        value = next();
    }
    return value % bound;
}

double IRandom::fraction()
{
    constexpr int DoubleMantissaBits = 53;
    return static_cast<double>(next() >> (64 - DoubleMantissaBits)) / static_cast<double>(1ULL << DoubleMantissaBits);
}

std::string IRandom::hexToken(int bits)
{
    std::string token;
    for (int produced = 0; produced < bits; produced += 64) {
        absl::StrAppend(&token, absl::Hex(next(), absl::kZeroPad16));
    }
    return token;
}

namespace {

void fillWithSystemRandom(std::uint64_t *values, std::size_t count)
{
    if (RAND_bytes(reinterpret_cast<unsigned char *>(values), static_cast<int>(count * sizeof(*values))) != 1) {
        // No fallback, because tokens and keys must be unpredictable.
        std::abort();
    }
}

} // namespace

std::uint64_t SystemRandom::next()
{
    std::uint64_t value = 0;
    fillWithSystemRandom(&value, 1);
    return value;
}

std::uint64_t BatchedSystemRandom::next()
{
    if (m_used == m_batch.size()) {
        fillWithSystemRandom(m_batch.data(), m_batch.size());
        m_used = 0;
    }
    return std::exchange(m_batch[m_used++], 0);
}

SeededRandom::SeededRandom(std::uint64_t seed)
    : m_engine(seed)
{
}

std::uint64_t SeededRandom::next()
{
    return m_engine();
}

} // namespace vanillatack
