#pragma once

#include <chrono>

namespace vanillatack {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTime = std::chrono::system_clock::time_point;

/// Source of time. All timing decisions use an injected clock, so that tests can run in virtual time.
class IClock
{
public:
    virtual ~IClock() = default;

    /// Monotonic time with an arbitrary origin.
    [[nodiscard]] virtual TimePoint now() const = 0;

    /// Monotonic time that, unlike now(), includes the time in which the VM was suspended. For expiry times.
    [[nodiscard]] virtual Duration elapsed() const
    {
        return now().time_since_epoch();
    }

    /// Wall-clock time, for logs, records and reports only.
    [[nodiscard]] virtual WallTime wallNow() const = 0;
};

/// Clock of the operating system.
class SystemClock final : public IClock
{
public:
    [[nodiscard]] TimePoint now() const override;
    [[nodiscard]] Duration elapsed() const override;
    [[nodiscard]] WallTime wallNow() const override;
};

/// Clock for tests that changes only through advance(). Both times start at fixed values.
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
