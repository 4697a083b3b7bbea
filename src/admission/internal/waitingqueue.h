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

/// A request that waits for admission.
struct WaitingRequest {
    TicketId ticket;
    AdmissionRequest request;
    TimePoint enqueued{};
    TimePoint expires{}; ///< Longest wait, or the last time at which it can still finish before its deadline.
    std::optional<TimePoint> agesAt{}; ///< Set for deferrable requests until they move up one class.
    bool aged = false; ///< Has moved up one class.
};

/// Waiting requests by importance and workspace. Lanes are the classes in their order, each split into requests in
/// progress and new ones; workspaces share a lane by deficit round robin (Shreedhar and Varghese, SIGCOMM 1995).
/// All operations are logarithmic in the number of waiting requests or better.
class WaitingQueue
{
public:
    /// Weights apply from the next turn of a workspace.
    void configure(const AdmissionSettings &settings);

    /// The queue must have room, see findVictim().
    void add(WaitingRequest request);

    /// Removes a request; empty when it does not wait here.
    std::optional<WaitingRequest> remove(TicketId ticket);

    /// Takes the next request to admit. Those that can no longer finish within the given time are moved to hopeless.
    std::optional<WaitingRequest>
    takeNext(TimePoint now, Duration needed, bool backgroundAllowed, std::vector<WaitingRequest> &hopeless);

    /// Removes the requests whose wait has ended.
    std::vector<WaitingRequest> takeExpired(TimePoint now);

    /// Moves requests that have waited for the aging limit up by one class.
    void promoteAged(TimePoint now);

    /// The waiting request to give up for a new one, or none when nothing that waits matters less. A quarter of the
    /// queue is kept for deferrable requests: they wait long, and would else be given up before they age.
    [[nodiscard]] std::optional<TicketId> findVictim(const AdmissionRequest &arrival, TimePoint now) const;

    /// Removes the victim for a new request. A lane that serves its newest requests first goes on doing so, since a
    /// full queue means that the overload lasts.
    std::optional<WaitingRequest> displaceFor(const AdmissionRequest &arrival, TimePoint now);

    /// The waiting request to give up when the queue must become shorter. The queue must not be empty.
    [[nodiscard]] TicketId leastImportant(TimePoint now) const;

    [[nodiscard]] int size() const;
    /// Waiting requests of classes other than background.
    [[nodiscard]] int foregroundSize() const;

private:
    using Line = std::list<WaitingRequest>;

    /// Waiting requests of one workspace in one lane.
    struct Flow {
        int weight = 1;
        int deficit = 0;
        bool inTurnOrder = false;
        bool agedServedLast = false;
        Line fresh;
        Line aged;

        [[nodiscard]] int size() const;
        /// Waiting requests per weight, in thousandths.
        [[nodiscard]] std::int64_t share(int additional = 0) const;
    };

    struct Lane {
        absl::flat_hash_map<WorkspaceName, std::size_t> flowOf;
        std::deque<Flow> flows;
        std::deque<std::size_t> turns; ///< Flows that wait for their turn; emptied flows leave when it comes.
        absl::btree_set<std::pair<std::int64_t, std::size_t>> byShare;
        int size = 0;
        TimePoint newestFirstUntil;
    };

    struct Position {
        std::size_t lane = 0;
        std::size_t flow = 0;
        Line::iterator request;
    };

    static constexpr std::size_t LaneCount = std::size_t{2} * PriorityClassCount;

    static std::size_t laneOf(PriorityClass priority, bool inProgress);
    std::size_t flowOf(Lane &lane, const WorkspaceName &workspace);
    [[nodiscard]] int weightOf(const WorkspaceName &workspace) const;
    /// Lanes are ordered by importance, the most important first.
    [[nodiscard]] static bool isDeferrable(std::size_t lane);
    [[nodiscard]] int deferrableSize() const;
    [[nodiscard]] std::optional<std::size_t> victimLane(std::size_t arrivalLane) const;
    void insert(Line &&single);
    Line extract(TicketId ticket);
    std::optional<WaitingRequest>
    takeFromLane(Lane &lane, TimePoint now, Duration needed, std::vector<WaitingRequest> &hopeless);
    static TicketId nextOf(Flow &flow, bool newestFirst);
    [[nodiscard]] static TicketId victimOf(const Flow &flow, bool newestFirst);
    [[nodiscard]] static bool newestFirst(const Lane &lane, TimePoint now);
    void noteHopeless(const WaitingRequest &request, TimePoint now);

    std::array<Lane, LaneCount> m_lanes;
    absl::flat_hash_map<TicketId, Position> m_positions;
    /// Times with the values of tickets.
    absl::btree_set<std::pair<TimePoint, std::uint64_t>> m_expiries;
    absl::btree_set<std::pair<TimePoint, std::uint64_t>> m_agings;
    absl::flat_hash_map<WorkspaceName, int> m_weights;
    int m_deferrableReserve = 0;
};

} // namespace vanillatack
