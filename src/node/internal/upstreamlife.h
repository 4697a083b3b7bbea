#pragma once

#include "node/inode.h"
#include "statechart/statechart.h"

namespace vanillatack {

/// Life cycle of the upstream on this VM, driven by its announcements; see charts/upstream.chart.
class UpstreamLife
{
public:
    explicit UpstreamLife(const StateChart &chart);

    /// True when the upstream starts anew: first announcement, after silence, cold again, or at another address.
    bool announce(const UpstreamAnnouncement &announcement, TimePoint now);

    void setOperatorDrain(bool draining);

    /// Takes silence for departure.
    void tick(TimePoint now);

    /// Whether work may be sent: cold or ready.
    [[nodiscard]] bool isServing() const;
    [[nodiscard]] bool isDraining() const;
    [[nodiscard]] bool isCold() const;

    [[nodiscard]] const std::string &state() const;

    /// The last announcement; its service is empty before the first.
    [[nodiscard]] const UpstreamAnnouncement &announcement() const;

private:
    ChartInstance m_chart;
    UpstreamAnnouncement m_announcement;
    TimePoint m_heardAt;
};

} // namespace vanillatack
