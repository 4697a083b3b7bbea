#pragma once

#include <array>
#include <cstdint>
#include <random>
#include <string>

namespace vanillatack {

/// Source of random numbers, injected so that tests can fix the seed.
class IRandom
{
public:
    virtual ~IRandom() = default;

    /// Uniform over all 64-bit values.
    virtual std::uint64_t next() = 0;

    /// Uniform in [0, bound). Bound must be positive.
    std::uint64_t below(std::uint64_t bound);

    /// Uniform in [0, 1).
    double fraction();

    /// Lower-case hexadecimal token with the given number of random bits, a multiple of 64.
    std::string hexToken(int bits = 128);
};

/// Cryptographically secure random numbers of libcrypto, for the node and the command line tool.
class SystemRandom final : public IRandom
{
public:
    std::uint64_t next() override;
};

/// Random numbers of SystemRandom, generated in batches because a single one costs a system call. For one thread.
class BatchedSystemRandom final : public IRandom
{
public:
    std::uint64_t next() override;

private:
    std::array<std::uint64_t, 64> m_batch{};
    std::size_t m_used = m_batch.size();
};

/// Reproducible random numbers for tests and benchmarks.
class SeededRandom final : public IRandom
{
public:
    explicit SeededRandom(std::uint64_t seed);

    std::uint64_t next() override;

private:
    std::mt19937_64 m_engine;
};

} // namespace vanillatack
