#pragma once

#include "admission/iadmission.h"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <array>
#include <deque>
#include <list>
#include <optional>
#include <utility>
#include <vector>

namespace vanillatack {

struct QueuedRequest {
    TicketId ticket;
    AdmissionRequest request;
    TimePoint enqueued{};
    TimePoint expires{}; ///< Deadline of the request or end of its queue time limit, whichever is earlier.
    std::optional<TimePoint> promoteAt{}; ///< Promotion time; set for deferrable requests until then.
    bool promoted = false; ///< Whether the request was promoted by one class.
};

/// Queued requests by importance and workspace. Each class has two lanes, one for inner calls and a less important one
/// for root requests; workspaces share a lane by deficit round robin (Shreedhar and Varghese, SIGCOMM 1995).
/// All operations are logarithmic in the number of queued requests or better.
class AdmissionQueue
{
public:
    /// Applies the weights and the reserve for deferrable requests, which depends on the queue limit. New weights take
    /// effect at the next round-robin turn of a workspace.
    void configure(const AdmissionSettings &settings);

    /// Adds a request. Does not check the queue limit, see evictFor().
    void add(QueuedRequest request);

    /// Removes a request. Returns nothing if the ticket is not queued.
    std::optional<QueuedRequest> remove(TicketId ticket);

    /// Removes and returns the next request to admit. Requests that cannot finish by their deadline, given the minimum
    /// service time, are moved to infeasible instead.
    std::optional<QueuedRequest>
    popNext(TimePoint now, Duration minServiceTime, bool backgroundAllowed, std::vector<QueuedRequest> &infeasible);

    /// Removes and returns the requests whose queue time has expired.
    std::vector<QueuedRequest> removeExpired(TimePoint now);

    /// Promotes requests that have reached the aging limit by one class.
    void promoteAged(TimePoint now);

    /// Returns the queued request to evict for a new one, or nothing if the new one is to be refused. The request comes
    /// from the least important non-empty lane, if that is not more important than the lane of the new request, and
    /// from the workspace with the largest weighted size in it. In the lane of the new request, that size must exceed
    /// the one of the new request's workspace; otherwise, in LIFO order, the workspace's own oldest request is
    /// returned.
    ///
    /// A quarter of the queue is reserved for deferrable requests: they stay queued for long and would otherwise be
    /// evicted before their promotion. While the reserve is not full, none of them is evicted for a new request, and a
    /// new one may also evict interactive requests.
    [[nodiscard]] std::optional<TicketId> findVictim(const AdmissionRequest &arrival, TimePoint now) const;

    /// Removes and returns the request to evict for a new one, if any. Prolongs the LIFO order of a lane that is
    /// already in it, since a full queue means that the overload continues.
    std::optional<QueuedRequest> evictFor(const AdmissionRequest &arrival, TimePoint now);

    /// Returns the request to evict when the queue limit is lowered. The queue must not be empty.
    [[nodiscard]] TicketId leastImportant(TimePoint now) const;

    [[nodiscard]] int size() const;
    /// Number of queued requests of all classes except background.
    [[nodiscard]] int foregroundSize() const;

private:
    using RequestList = std::list<QueuedRequest>;

    /// Queued requests of one workspace in one lane.
    struct Flow {
        int weight = 1;
        int deficit = 0;
        bool active = false;
        bool promotedServedLast = false;
        RequestList notPromoted;
        RequestList promoted;

        [[nodiscard]] int size() const;
        /// Queued plus additional requests per unit of weight, in thousandths.
        [[nodiscard]] std::int64_t weightedSize(int additional = 0) const;
    };

    struct Lane {
        absl::flat_hash_map<WorkspaceName, std::size_t> flowOf;
        std::deque<Flow> flows;
        /// Flows in round-robin order; empty flows are removed at their turn.
        std::deque<std::size_t> activeFlows;
        /// Weighted sizes and indexes of the non-empty flows.
        absl::btree_set<std::pair<std::int64_t, std::size_t>> byWeightedSize;
        int size = 0;
        TimePoint lifoUntil; ///< End of the LIFO order.
    };

    struct Position {
        std::size_t lane = 0;
        std::size_t flow = 0;
        RequestList::iterator request;
    };

    static constexpr std::size_t LaneCount = std::size_t{2} * PriorityClassCount;

    /// Lanes are ordered by importance, the most important first.
    static std::size_t laneOf(PriorityClass priority, bool innerCall);
    std::size_t flowOf(Lane &lane, const WorkspaceName &workspace);
    [[nodiscard]] int weightOf(const WorkspaceName &workspace) const;
    [[nodiscard]] static bool isDeferrable(std::size_t lane);
    [[nodiscard]] int deferrableSize() const;
    [[nodiscard]] std::optional<std::size_t> victimLane(std::size_t arrivalLane) const;
    /// Inserts the only element of the list.
    void insert(RequestList &&single);
    /// Removes a request and returns it as a list of one element; empty if the ticket is not queued.
    RequestList extract(TicketId ticket);
    std::optional<QueuedRequest>
    popFromLane(Lane &lane, TimePoint now, Duration minServiceTime, std::vector<QueuedRequest> &infeasible);
    static TicketId nextOf(Flow &flow, bool lifo);
    [[nodiscard]] static TicketId victimOf(const Flow &flow, bool lifo);
    [[nodiscard]] static bool isLifo(const Lane &lane, TimePoint now);
    /// Switches the lane of a request that could not be admitted in time to LIFO order.
    void switchToLifo(const QueuedRequest &request, TimePoint now);

    std::array<Lane, LaneCount> m_lanes;
    absl::flat_hash_map<TicketId, Position> m_positions;
    absl::btree_set<std::pair<TimePoint, std::uint64_t>> m_expiries; ///< Expiry times and tickets.
    absl::btree_set<std::pair<TimePoint, std::uint64_t>> m_promotions; ///< Promotion times and tickets.
    absl::flat_hash_map<WorkspaceName, int> m_weights;
    int m_deferrableReserve = 0; ///< Queue places reserved for deferrable requests.
};

} // namespace vanillatack
