#pragma once

#include "node/inode.h"
#include "statechart/statechart.h"

namespace vanillatack {

/// Life cycle of the local instance, driven by its announcements; see charts/upstream.chart.
class UpstreamLifecycle
{
public:
    explicit UpstreamLifecycle(const StateChart &chart);

    /// Handles an announcement. Returns true when the instance is to be treated as new: first announcement, first after
    /// it was unresponsive or draining, cold again, or another service or address.
    bool announce(const UpstreamAnnouncement &announcement, TimePoint now);

    void setOperatorDrain(bool draining);

    /// Treats the instance as removed when its announcements have stopped.
    void tick(TimePoint now);

    /// Whether calls may be sent to the instance: state cold or ready.
    [[nodiscard]] bool isServing() const;
    [[nodiscard]] bool isDraining() const;
    [[nodiscard]] bool isCold() const;

    [[nodiscard]] const std::string &state() const;

    /// The last announcement; its service is empty before the first.
    [[nodiscard]] const UpstreamAnnouncement &announcement() const;

private:
    ChartInstance m_chart;
    UpstreamAnnouncement m_announcement;
    TimePoint m_lastReceivedAt; ///< Time of the last announcement.
};

} // namespace vanillatack
