#pragma once

#include <chrono>

namespace vanillatack {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTime = std::chrono::system_clock::time_point;

/// Source of time. Decisions never read a clock of their own, so that tests can run in virtual time.
class IClock
{
public:
    virtual ~IClock() = default;

    /// Monotonic time; the origin is arbitrary.
    [[nodiscard]] virtual TimePoint now() const = 0;

    /// Monotonic time that also counts while the VM is suspended, unlike now(). For whatever must lapse.
    [[nodiscard]] virtual Duration elapsed() const
    {
        return now().time_since_epoch();
    }

    /// Calendar time, for logs, records and reports only.
    [[nodiscard]] virtual WallTime wallNow() const = 0;
};

/// The clock of the operating system.
class SystemClock final : public IClock
{
public:
    [[nodiscard]] TimePoint now() const override;
    [[nodiscard]] Duration elapsed() const override;
    [[nodiscard]] WallTime wallNow() const override;
};

/// A clock that moves only when told to. Both times start at a fixed point.
class ManualClock final : public IClock
{
public:
    [[nodiscard]] TimePoint now() const override;
    [[nodiscard]] WallTime wallNow() const override;

    void advance(Duration step);

private:
    Duration m_elapsed{0};
};

} // namespace vanillatack
