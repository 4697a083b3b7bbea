#pragma once

#include "base/clock.h"
#include "model/request.h"

#include <map>
#include <vector>

namespace vanillatack {

struct AdmissionSettings {
    int queueLimit = 500; ///< Queued requests of all classes together.
    Duration queueTimeout = std::chrono::milliseconds(500); ///< Queue time limit of all classes except deferrable.
    Duration deferrableQueueTimeout = std::chrono::seconds(30); ///< Queue time limit of deferrable requests.
    /// Queue time after which a deferrable request is promoted by one class.
    Duration agingLimit = std::chrono::seconds(10);
    /// Background requests are admitted only below this percentage of the concurrency limit.
    int backgroundPercent = 70;
    int minLimit = 4; ///< Lower bound of the concurrency limit.
    int maxLimit = 4000; ///< Upper bound of the concurrency limit.
    std::map<WorkspaceName, int> weights; ///< Weights of max-min fairness; 1 for a workspace not listed.
};

struct AdmissionRequest {
    WorkspaceName workspace;
    PriorityClass priority = PriorityClass::Interactive;
    bool innerCall = false; ///< Inner call of a root request that is already running (depth above 0).
    TimePoint deadline;
};

enum class AdmissionOutcome {
    Admitted,
    Queued, ///< The listener is notified of the decision later.
    Refused,
};

struct AdmissionDecision {
    AdmissionOutcome outcome = AdmissionOutcome::Refused;
    TicketId ticket; ///< Valid when admitted or queued.
    RefusalKind refusal = RefusalKind::None; ///< Set when refused.
    Duration retryAfter{0}; ///< Set when refused for overload; otherwise 0.
};

/// Outcome of an admitted request.
enum class WorkOutcome {
    Succeeded, ///< The upstream answered with a status below 500.
    Failed, ///< The upstream answered with status 5xx, or the connection broke.
    Overloaded, ///< The upstream refused with status 429 or 503.
    Cancelled, ///< Abandoned by the caller; gives no information on the latency of the upstream.
};

/// Notified of the decisions on queued requests. Called synchronously from IAdmission; must not call back into it.
class IAdmissionListener
{
public:
    virtual ~IAdmissionListener() = default;

    virtual void onAdmitted(TicketId ticket) = 0;
    virtual void onRefused(TicketId ticket, RefusalKind refusal, Duration retryAfter) = 0;
};

struct AdmissionSnapshot {
    int limit = 0; ///< Current concurrency limit.
    int running = 0;
    int queued = 0;
    Duration baseline{0}; ///< Estimated latency of the unloaded upstream; 0 while unknown.
    Duration recentLatency{0}; ///< Mean latency of the last measurement window; 0 while unknown.
};

/// Admits, queues or refuses requests for the upstream of this node.
class IAdmission
{
public:
    virtual ~IAdmission() = default;

    virtual void configure(const AdmissionSettings &settings) = 0;

    /// Sets the slots that the upstream announced. They bound the limit only until it has been measured once (see
    /// ConcurrencyLimit), since announcements can be late or wrong.
    virtual void setAnnouncedSlots(int slots) = 0;

    /// Restarts the limit at a tenth of the announced slots, for an upstream that is cold or was replaced.
    virtual void startCold() = 0;

    /// While draining, every offer is refused; queued and running requests continue.
    virtual void setDraining(bool draining) = 0;

    virtual AdmissionDecision offer(const AdmissionRequest &request) = 0;

    /// Releases the slot of an admitted request and records its outcome and latency.
    virtual void finish(TicketId ticket, WorkOutcome outcome, Duration latency) = 0;

    /// Cancels a queued request, e.g. because its caller abandoned it. Unknown tickets are ignored.
    virtual void cancel(TicketId ticket) = 0;

    /// Refuses expired queued requests and updates the limit. Must be called at least every 10 ms while requests are
    /// queued.
    virtual void tick() = 0;

    /// Lowest class admitted now and the admitted share of its requests; sent in replies.
    [[nodiscard]] virtual ServiceLevel level() const = 0;

    [[nodiscard]] virtual AdmissionSnapshot snapshot() const = 0;
};

} // namespace vanillatack
