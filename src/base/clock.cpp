#include "base/clock.h"

#include <ctime>

namespace vanillatack {

namespace {

// Initial time of ManualClock; far from zero so that code can subtract durations from it.
constexpr std::chrono::hours ManualMonotonicStart{1000};
constexpr std::chrono::seconds ManualWallStart{1'767'225'600}; // 2026-01-01T00:00:00Z

} // namespace

TimePoint SystemClock::now() const
{
    return std::chrono::steady_clock::now();
}

Duration SystemClock::elapsed() const
{
    timespec time{};
    // Fails only for clocks that the kernel does not support; all supported kernels have CLOCK_BOOTTIME.
    (void)clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::system_clock::now();
}

TimePoint ManualClock::now() const
{
    return TimePoint(ManualMonotonicStart) + m_elapsed;
}

WallTime ManualClock::wallNow() const
{
    return WallTime(ManualWallStart) + std::chrono::duration_cast<WallTime::duration>(m_elapsed);
}

void ManualClock::advance(Duration step)
{
    m_elapsed += step;
}

} // namespace vanillatack
