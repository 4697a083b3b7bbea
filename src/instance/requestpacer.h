#pragma once

#include "base/clock.h"

#include <optional>

namespace vanillatack {

/// Spaces the requests to an instance that names the rate it accepts. Unused time can be made up for by a short burst.
class RequestPacer
{
public:
    /// Sets the accepted requests per second; nullopt: any number. Rates below MinRate are raised to it, since only the
    /// instance's answers tell that it accepts more again.
    void setRate(std::optional<double> requestsPerSecond);

    [[nodiscard]] std::optional<double> rate() const
    {
        return m_rate;
    }

    /// Time until a request may start that is preceded by the given number of waiting requests; 0 if it may start now.
    [[nodiscard]] Duration waitTime(int waitingBefore, TimePoint now) const;

    void recordStart(TimePoint now);

    static constexpr double MinRate = 1; ///< Requests per second.

private:
    [[nodiscard]] Duration interval() const;

    std::optional<double> m_rate;
    TimePoint m_nextStart; ///< Time at which the next request would start if all started evenly at the rate.
};

} // namespace vanillatack
