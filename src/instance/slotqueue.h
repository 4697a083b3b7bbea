#pragma once

#include "base/clock.h"
#include "model/ids.h"

#include <map>
#include <optional>
#include <vector>

namespace vanillatack {

/// A request that needs a slot of the local instance.
struct SlotRequest {
    TicketId ticket;
    RouteName route;
    int rank = 0; ///< Importance; 0 is served first.
    bool innerCall = false; ///< Inner calls are served before root requests, because work was already spent on them.
    TimePoint deadline; ///< Time at which the caller stops waiting for the answer.
    Duration maxWait{0}; ///< Longest time in the queue after which the answer is still useful.
};

enum class SlotOutcome {
    Start,
    Queued,
    Refused,
};

struct SlotDecision {
    SlotOutcome outcome = SlotOutcome::Refused;
    Duration expectedWait{0}; ///< Estimated time in the queue, also of a refused request.
};

/// Limits the requests that run concurrently at one instance to its slots, and queues the others by importance. A
/// request whose expected wait is too long is refused immediately, so that only requests that can still succeed are
/// queued.
class SlotQueue
{
public:
    /// Sets the number of slots that the instance has announced.
    void setSlots(int slots);

    /// Records that the instance refused a request because it was full; lowers the limit for a short time.
    void recordOverflow(TimePoint now);

    SlotDecision offer(const SlotRequest &request, TimePoint now);

    /// Frees the slot of a running request and returns the tickets of the queued requests that start now. The work time
    /// is recorded only for complete answers.
    std::vector<TicketId> finish(TicketId ticket, bool answerComplete, TimePoint now);

    /// Removes a queued request. Returns false if it is not queued.
    bool cancel(TicketId ticket);

    /// Removes the queued requests that have waited too long or can no longer meet their deadline, and returns their
    /// tickets.
    std::vector<TicketId> expire(TimePoint now);

    /// Removes all queued requests and returns their tickets.
    std::vector<TicketId> clear();

    /// Maximum number of requests that may run now.
    [[nodiscard]] int limit(TimePoint now) const;
    [[nodiscard]] int running() const
    {
        return static_cast<int>(m_running.size());
    }
    [[nodiscard]] int queued() const
    {
        return m_queued;
    }

    /// Mean time for which a request of the route occupies a slot; 0 when none has finished yet.
    [[nodiscard]] Duration workTime(const RouteName &route) const;

private:
    /// Priority of a queue, in serving order: inner calls first, then by rank.
    struct QueueKey {
        bool rootRequest = false;
        int rank = 0;
        auto operator<=>(const QueueKey &) const = default; // NOLINT(modernize-use-nullptr): as in model/ids.h
    };
    struct QueuedRequest {
        SlotRequest request;
        TimePoint queuedAt;
    };
    struct RunningRequest {
        RouteName route;
        TimePoint startedAt;
    };

    void start(const SlotRequest &request, TimePoint now);
    [[nodiscard]] Duration expectedWait(QueueKey key, TimePoint now) const;
    [[nodiscard]] Duration estimatedWorkTime(const RouteName &route) const;

    int m_slots = 0;
    int m_queued = 0;
    TimePoint m_overflowAt;
    std::map<QueueKey, std::vector<QueuedRequest>> m_queues;
    std::map<TicketId, RunningRequest> m_running;
    std::map<RouteName, double> m_workSeconds; ///< Mean work time by route in seconds, exponentially weighted.
};

} // namespace vanillatack
