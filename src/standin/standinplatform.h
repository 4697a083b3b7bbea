#pragma once

#include "store/memorystore.h"

#include <memory>
#include <string>

namespace vanillatack {

/// How the stand-in platform is unreachable.
enum class PlatformDown {
    No,
    Refuse, ///< Refuses connections; those that are open get 503 and end within seconds.
    Error, ///< Answers 503 without doing anything.
};

inline constexpr auto PlatformDownNames = makeNameTable<PlatformDown, 3>({
    {PlatformDown::No, "no"},
    {PlatformDown::Refuse, "refuse"},
    {PlatformDown::Error, "error"},
});

/// How the answer of a write that took effect is lost.
enum class AnswerLoss {
    Drop, ///< The connection is closed within the answer.
    Error, ///< The answer is 500.
};

inline constexpr auto AnswerLossNames = makeNameTable<AnswerLoss, 2>({
    {AnswerLoss::Drop, "drop"},
    {AnswerLoss::Error, "error"},
});

/// Faults of the stand-in platform.
struct PlatformFaults {
    PlatformDown down = PlatformDown::No;
    int delayMs = 0; ///< Before each call is handled.
    double loseAnswerProbability = 0; ///< Of writes.
    AnswerLoss loss = AnswerLoss::Drop;
    std::uint64_t seed = 1; ///< Of the choice of lost answers; setting faults starts the sequence anew.
};

/// Calls since the start or the last reset. Objects count with rows.
struct PlatformCounters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t answersLost = 0;
    std::uint64_t refused = 0; ///< Answered 503.
};

struct StandInPlatformOptions {
    std::string address = "127.0.0.1";
    int port = 0; ///< 0 for any free port.
    int controlPort = 0; ///< 0 for any free port.
    int threads = 256; ///< Bounds the number of open connections; each node keeps several.
};

/// A platform for development: the protocol of docs/platform-protocol.md over a store in memory, with faults that are
/// set over HTTP on the control port. GET /control returns faults and counters, POST /control/faults sets faults, and
/// POST /control/reset sets the counters to zero.
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
