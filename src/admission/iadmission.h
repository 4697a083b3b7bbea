#pragma once

#include "base/clock.h"
#include "model/request.h"

#include <map>
#include <vector>

namespace vanillatack {

struct AdmissionSettings {
    int queueLimit = 500; ///< Waiting requests over all classes.
    Duration queueTimeout = std::chrono::milliseconds(500); ///< Longest wait of classes other than deferrable.
    Duration deferrableQueueTimeout = std::chrono::seconds(30); ///< Longest wait of deferrable requests.
    Duration agingLimit = std::chrono::seconds(10); ///< Wait after which a deferrable request moves up one class.
    int backgroundPercent = 70; ///< Background work only while running requests are below this share of the limit.
    int lowestLimit = 4; ///< The concurrency limit never falls below this.
    int highestLimit = 4000;
    std::map<WorkspaceName, int> weights; ///< Max-min weights; a workspace not listed has weight 1.
};

struct AdmissionRequest {
    WorkspaceName workspace;
    PriorityClass priority = PriorityClass::Interactive;
    bool inProgress = false; ///< Part of a root request that has already run elsewhere (depth above 0).
    TimePoint deadline;
};

enum class AdmissionOutcome {
    Admitted,
    Queued, ///< The listener is told later.
    Refused,
};

struct AdmissionDecision {
    AdmissionOutcome outcome = AdmissionOutcome::Refused;
    TicketId ticket; ///< Valid when admitted or queued.
    RefusalKind refusal = RefusalKind::None; ///< Set when refused.
    Duration retryAfter{0}; ///< Set when refused and waiting helps.
};

/// How the work of an admitted request ended.
enum class WorkOutcome {
    Succeeded, ///< The upstream answered with a status below 500.
    Failed, ///< Status 5xx or broken connection.
    Overloaded, ///< The upstream refused with 429 or 503.
    Cancelled, ///< The caller went away; says nothing about the upstream's speed.
};

/// Told about queued requests. Called from within calls of IAdmission; must not call back.
class IAdmissionListener
{
public:
    virtual ~IAdmissionListener() = default;

    virtual void onAdmitted(TicketId ticket) = 0;
    virtual void onRefused(TicketId ticket, RefusalKind refusal, Duration retryAfter) = 0;
};

struct AdmissionSnapshot {
    int limit = 0; ///< Concurrent requests admitted now.
    int running = 0;
    int queued = 0;
    Duration baseline{0}; ///< Latency of the unloaded upstream as observed.
    Duration recentLatency{0};
};

/// Admits or refuses work for the upstream of this node.
class IAdmission
{
public:
    virtual ~IAdmission() = default;

    virtual void configure(const AdmissionSettings &settings) = 0;

    /// Slots the upstream announced. An upper bound at the start only, since announcements lag or mislead.
    virtual void setAnnouncedSlots(int slots) = 0;

    /// Restarts the limit at a tenth of the slots; used when the upstream says it is cold or was replaced.
    virtual void startCold() = 0;

    /// While draining every offer is refused; what is queued or running goes on.
    virtual void setDraining(bool draining) = 0;

    virtual AdmissionDecision offer(const AdmissionRequest &request) = 0;

    /// Ends an admitted request.
    virtual void finish(TicketId ticket, WorkOutcome outcome, Duration latency) = 0;

    /// Removes a queued request, e.g. because its caller went away. Unknown tickets are ignored.
    virtual void cancel(TicketId ticket) = 0;

    /// Expires queued requests and moves the limit. To be called at least every 10 ms while requests wait.
    virtual void tick() = 0;

    /// The lowest class admitted now, for replies.
    [[nodiscard]] virtual ServiceLevel level() const = 0;

    [[nodiscard]] virtual AdmissionSnapshot snapshot() const = 0;
};

} // namespace vanillatack
