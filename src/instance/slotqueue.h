#pragma once

#include "base/clock.h"
#include "instance/requestpacer.h"
#include "model/ids.h"

#include <map>
#include <optional>
#include <vector>

namespace vanillatack {

/// A request that needs a slot of the local instance.
struct SlotRequest {
    TicketId ticket;
    RouteName route;
    int rank = 0; ///< Rank of importance; 0 is the most important and served first.
    bool innerCall = false; ///< Inner calls are served before root requests, because work was already spent on them.
    TimePoint deadline; ///< Time at which the caller stops waiting for the answer.
    Duration maxWait{0}; ///< Maximum time in the queue; after a longer wait the answer would come too late.
};

enum class SlotOutcome {
    Start,
    Queued,
    Refused,
};

struct SlotDecision {
    SlotOutcome outcome = SlotOutcome::Refused;
    Duration expectedWait{0}; ///< Estimated time in the queue, also set for a refused request; 0 when started.
};

/// Limits the requests that run concurrently at one instance to its slots and, if the instance names one, to its
/// request rate, and queues the others by importance. A request whose expected wait is too long is refused immediately,
/// so that only requests that can still succeed are queued.
class SlotQueue
{
public:
    /// Sets the number of slots that the instance has announced.
    void setSlots(int slots);

    /// Records that the instance refused a request because it was full; lowers the limit for a short time.
    void recordOverflow(TimePoint now);

    /// Sets the requests per second that the instance accepts; nullopt: any number.
    void setRequestRate(std::optional<double> requestsPerSecond);
    [[nodiscard]] std::optional<double> requestRate() const
    {
        return m_pacer.rate();
    }

    /// Starts the request if a slot is free, the rate allows it and nothing is queued. Otherwise queues it, or refuses
    /// it if the expected wait exceeds maxWait or the time left until the request must start to meet its deadline.
    SlotDecision offer(const SlotRequest &request, TimePoint now);

    /// Frees the slot of a running request and returns the tickets of the queued requests that start now. The work time
    /// is recorded only for complete answers.
    std::vector<TicketId> finish(TicketId ticket, bool answerComplete, TimePoint now);

    /// Starts the queued requests for which the rate has left room meanwhile, and returns their tickets.
    std::vector<TicketId> startQueued(TimePoint now);

    /// Removes a queued request. Returns false if it is not queued.
    bool cancel(TicketId ticket);

    /// Removes the queued requests that have waited too long or can no longer meet their deadline, and returns their
    /// tickets.
    std::vector<TicketId> expire(TimePoint now);

    /// Removes all queued requests and returns their tickets.
    std::vector<TicketId> clear();

    /// Maximum number of requests that may run now.
    [[nodiscard]] int limit(TimePoint now) const;

    /// Number of requests that can be kept running: the limit, or fewer if the request rate does not fill it.
    [[nodiscard]] int sustainableLimit(TimePoint now) const;
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

    /// Drops the mean of a route that is no longer used.
    void forgetWorkTime(const RouteName &route);

private:
    /// Priority of a queue, in serving order: inner calls first, then by rank.
    struct QueueKey {
        bool rootRequest = false;
        int rank = 0;
        // clang-tidy 14 mistakes the literal 0 in the generated comparison for a null pointer.
        auto operator<=>(const QueueKey &) const = default; // NOLINT(modernize-use-nullptr)
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
    [[nodiscard]] bool canStart(TimePoint now) const;
    /// The larger of two waits for the queued requests of the same or a higher priority: their estimated work, divided
    /// by the limit, and the time in which the rate admits them. Running requests are not counted.
    [[nodiscard]] Duration expectedWait(QueueKey key, TimePoint now) const;
    /// Mean work time of the route, or a default when none of its requests has finished yet.
    [[nodiscard]] Duration estimatedWorkTime(const RouteName &route) const;

    RequestPacer m_pacer;
    double m_meanWorkSeconds = 0; ///< Mean work time of all routes, exponentially weighted; 0 when none has finished.
    int m_slots = 0;
    int m_queued = 0;
    TimePoint m_overflowAt;
    std::map<QueueKey, std::vector<QueuedRequest>> m_queues;
    std::map<TicketId, RunningRequest> m_running;
    std::map<RouteName, double> m_workSeconds; ///< Mean work time by route in seconds, exponentially weighted.
};

} // namespace vanillatack
