#pragma once

#include "admission/iadmission.h"
#include "admission/internal/admissionqueue.h"
#include "admission/internal/concurrencylimit.h"
#include "admission/internal/levelestimator.h"

#include <absl/container/flat_hash_set.h>

namespace vanillatack {

class Admission final : public IAdmission
{
public:
    Admission(const IClock &clock, IAdmissionListener &listener, const AdmissionSettings &settings);

    void configure(const AdmissionSettings &settings) override;
    void setAnnouncedSlots(int slots) override;
    void startCold() override;
    void setDraining(bool draining) override;
    AdmissionDecision offer(const AdmissionRequest &request) override;
    void finish(TicketId ticket, WorkOutcome outcome, Duration latency) override;
    void cancel(TicketId ticket) override;
    void tick() override;
    [[nodiscard]] ServiceLevel level() const override;
    [[nodiscard]] AdmissionSnapshot snapshot() const override;

private:
    [[nodiscard]] int running() const;
    [[nodiscard]] bool hasCapacityFor(PriorityClass priority) const;
    [[nodiscard]] Duration minServiceTime() const;
    [[nodiscard]] Duration retryAfter() const;
    [[nodiscard]] QueuedRequest
    makeQueuedRequest(TicketId ticket, const AdmissionRequest &request, TimePoint now) const;
    bool makeQueueSpaceFor(const AdmissionRequest &request, TimePoint now);
    void admit(TicketId ticket, PriorityClass priority, TimePoint now);
    void refuse(const QueuedRequest &request, RefusalKind refusal);
    AdmissionDecision makeRefusal(RefusalKind refusal) const;
    void update(TimePoint now);
    void dispatch(TimePoint now);
    void checkInvariants() const;

    const IClock &m_clock;
    IAdmissionListener &m_listener;
    AdmissionSettings m_settings;
    ConcurrencyLimit m_limit;
    AdmissionQueue m_queue;
    LevelEstimator m_level;
    absl::flat_hash_set<TicketId> m_running;
    std::uint64_t m_lastTicket = 0;
    bool m_draining = false;
};

} // namespace vanillatack
