#pragma once

#include "base/clock.h"
#include "model/ids.h"

#include <map>
#include <optional>
#include <vector>

namespace vanillatack {

/// A request that asks for a slot of the instance.
struct SlotRequest {
    TicketId ticket;
    RouteName route;
    int rank = 0;
    bool innerCall = false; ///< A call of work that has already begun elsewhere; it goes before new work.
    TimePoint deadline; ///< When nobody waits for the answer any more.
    Duration maxWait{0}; ///< Longest time in the queue that leaves the answer useful.
};

enum class SlotOutcome {
    Start,
    Queued,
    Refused,
};

struct SlotDecision {
    SlotOutcome outcome = SlotOutcome::Refused;
    Duration expectedWait{0}; ///< For a refusal: when the queue will have shrunk enough.
};

/// Passes on to one instance no more requests at once than it has slots, and queues the rest by importance. A request
/// that would not get its turn in time is refused at once, so that the queue holds only work that can still succeed.
class SlotQueue
{
public:
    /// Slots of the instance as announced.
    void setSlots(int slots);

    /// The instance refused a request for lack of room: fewer are passed on for a while.
    void recordOverflow(TimePoint now);

    SlotDecision offer(const SlotRequest &request, TimePoint now);

    /// Ends a started request and returns the tickets that start now. The work time counts when the answer was whole.
    std::vector<TicketId> finish(TicketId ticket, bool wholeAnswer, TimePoint now);

    /// Removes a queued request. Returns false when it is not queued.
    bool cancel(TicketId ticket);

    /// Queued requests whose wait is over; they are removed.
    std::vector<TicketId> expire(TimePoint now);

    /// Removes and returns everything that is queued.
    std::vector<TicketId> clear();

    [[nodiscard]] int limit(TimePoint now) const;
    [[nodiscard]] int running() const
    {
        return static_cast<int>(m_running.size());
    }
    [[nodiscard]] int queued() const
    {
        return m_queued;
    }

    /// Mean time that a request of the route occupies a slot; 0 when none has ended yet.
    [[nodiscard]] Duration workTime(const RouteName &route) const;

private:
    /// Queues in the order in which they are served: work in progress first, then by rank.
    struct QueueKey {
        bool newWork = false;
        int rank = 0;
        auto operator<=>(const QueueKey &) const = default; // NOLINT(modernize-use-nullptr): as in model/ids.h
    };
    struct Waiting {
        SlotRequest request;
        TimePoint since;
    };
    struct Started {
        RouteName route;
        TimePoint at;
    };

    void start(const SlotRequest &request, TimePoint now);
    [[nodiscard]] Duration expectedWait(QueueKey key, TimePoint now) const;
    [[nodiscard]] Duration meanWork(const RouteName &route) const;

    int m_slots = 0;
    int m_queued = 0;
    TimePoint m_overflowAt;
    std::map<QueueKey, std::vector<Waiting>> m_queues;
    std::map<TicketId, Started> m_running;
    std::map<RouteName, double> m_workSeconds; ///< Exponentially weighted.
};

} // namespace vanillatack
