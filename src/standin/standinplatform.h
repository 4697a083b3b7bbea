#pragma once

#include "store/memorystore.h"

#include <memory>
#include <string>

namespace vanillatack {

/// Kinds of outage of the stand-in platform.
enum class PlatformDown {
    No,
    Refuse, ///< New connections are refused; open ones get 503 and are closed within seconds.
    Error, ///< Every call is answered with 503 and has no effect.
};

inline constexpr auto PlatformDownNames = makeNameTable<PlatformDown, 3>({
    {PlatformDown::No, "no"},
    {PlatformDown::Refuse, "refuse"},
    {PlatformDown::Error, "error"},
});

/// How the response of a committed write is lost.
enum class AnswerLoss {
    Drop, ///< The connection is closed before the response is complete.
    Error, ///< The response has status 500.
};

inline constexpr auto AnswerLossNames = makeNameTable<AnswerLoss, 2>({
    {AnswerLoss::Drop, "drop"},
    {AnswerLoss::Error, "error"},
});

/// Faults that are injected into the stand-in platform.
struct PlatformFaults {
    PlatformDown down = PlatformDown::No;
    int delayMs = 0; ///< Delay before each call is handled.
    double loseAnswerProbability = 0; ///< Probability that the response of a write is lost.
    AnswerLoss loss = AnswerLoss::Drop;
    std::uint64_t seed = 1; ///< Seed of the choice of lost responses; setting faults restarts the sequence.
};

/// Numbers of calls, for rows and objects together, since the start or the last reset.
struct PlatformCounters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t answersLost = 0; ///< Responses of writes that were lost.
    std::uint64_t refused = 0; ///< Calls answered with 503.
};

struct StandInPlatformOptions {
    std::string address = "127.0.0.1";
    int port = 0; ///< 0 for any free port.
    int controlPort = 0; ///< 0 for any free port.
    int threads = 256; ///< Also the limit on open connections; each node keeps several.
};

/// A platform for development. Implements docs/platform-protocol.md with an in-memory store and injects faults that
/// are set over HTTP on the control port: GET /control returns faults and counters, POST /control/faults sets faults,
/// and POST /control/reset sets the counters to zero.
class StandInPlatform
{
public:
    explicit StandInPlatform(StandInPlatformOptions options);
    ~StandInPlatform();

    StandInPlatform(const StandInPlatform &) = delete;
    StandInPlatform &operator=(const StandInPlatform &) = delete;

    /// Errors: Unavailable when a port cannot be bound.
    Result<void> start();

    [[nodiscard]] int port() const;
    [[nodiscard]] int controlPort() const;

    /// Errors: Unavailable when the port cannot be bound again after connections were refused.
    Result<void> setFaults(const PlatformFaults &faults);

    [[nodiscard]] PlatformCounters counters() const;
    void resetCounters();
    MemoryStore &store();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace vanillatack
