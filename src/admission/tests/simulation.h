#pragma once

#include "admission/admissionsetup.h"
#include "base/random.h"

#include <cmath>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

namespace vanillatack {

/// Settings of the simulated upstream, which queues requests beyond its slots in FIFO order.
struct UpstreamSettings {
    int slots = 100;
    double serviceSeconds = 0.02;
    double variation = 0.5; ///< Spread of the service time, from 0 (constant) to 1 (exponential).
    /// Relative increase of the service time for each multiple of `slots` by which requests exceed the slots.
    double thrashing = 0;
    int shedAbove = 0; ///< Concurrent requests above which the upstream answers 503; 0 disables this.
};

/// Poisson arrivals of one workspace and class.
struct Stream {
    std::string workspace;
    PriorityClass priority = PriorityClass::Interactive;
    double perSecond = 0;
    Duration deadline = std::chrono::seconds(1);
    bool innerCall = false;
};

struct Tally {
    int offered = 0;
    int good = 0; ///< Requests that finished within the deadline.
    int refused = 0;
    Duration longestTime{0}; ///< Longest time from the offer to a completion within the deadline.

    [[nodiscard]] double goodShare() const
    {
        return offered == 0 ? 1 : static_cast<double>(good) / offered;
    }
};

/// Simulates, in virtual time, streams of requests to one upstream with admission control. The naive variant instead
/// has a fixed limit of the announced slots and a FIFO queue with the default queue limit.
class Simulation final : public IAdmissionListener
{
public:
    Simulation(UpstreamSettings settings, std::uint64_t seed, bool naive = false, int announcedSlots = 0)
        : upstream(settings)
        , admission(makeAdmission(clock, *this, AdmissionSettings()))
        , m_random(seed)
        , m_naiveLimit(naive ? std::max(announcedSlots, settings.slots) : 0)
    {
        admission->setAnnouncedSlots(std::max(announcedSlots, settings.slots));
        schedule(Duration::zero(), Event::Tick, 0);
    }

    void addStream(const Stream &stream)
    {
        streams.push_back(stream);
        tallies.emplace_back();
        schedule(Duration::zero(), Event::Arrival, streams.size() - 1);
    }

    /// Advances the simulation and returns the goodput: completions within the deadline, per second.
    double run(Duration time)
    {
        const TimePoint end = clock.now() + time;
        const int before = good;
        while (std::get<0>(m_events.top()) <= end) {
            const auto [at, order, event, id] = m_events.top();
            m_events.pop();
            clock.advance(at - clock.now());
            handle(event, id);
        }
        clock.advance(end - clock.now());
        return (good - before) / std::chrono::duration<double>(time).count();
    }

    void resetTallies()
    {
        tallies.assign(streams.size(), Tally());
    }

    /// Completions per second with all slots in use.
    [[nodiscard]] double capacity() const
    {
        return upstream.slots / upstream.serviceSeconds;
    }

    void onAdmitted(TicketId ticket) override
    {
        start(ticket.value);
    }
    void onRefused(TicketId ticket, RefusalKind /*refusal*/, Duration /*retryAfter*/) override
    {
        ++tallies[m_requests.at(ticket.value).stream].refused;
        m_requests.erase(ticket.value);
    }

    UpstreamSettings upstream;
    ManualClock clock;
    std::unique_ptr<IAdmission> admission;
    std::vector<Stream> streams;
    std::vector<Tally> tallies;
    int good = 0;

private:
    enum class Event {
        Arrival,
        Finish,
        Tick,
    };
    struct Request {
        std::size_t stream = 0;
        TimePoint offered;
        TimePoint started;
        WorkOutcome outcome = WorkOutcome::Succeeded;
    };

    void schedule(Duration delay, Event event, std::uint64_t id)
    {
        m_events.emplace(clock.now() + delay, ++m_order, event, id);
    }

    Duration exponential(double meanSeconds)
    {
        return Duration(static_cast<std::int64_t>(-std::log(1 - m_random.fraction()) * meanSeconds * 1e9));
    }

    void handle(Event event, std::uint64_t id)
    {
        switch (event) {
        case Event::Tick:
            admission->tick();
            schedule(std::chrono::milliseconds(10), Event::Tick, 0);
            break;
        case Event::Arrival:
            if (streams[id].perSecond > 0) {
                offer(id);
            }
            schedule(exponential(1 / std::max(1.0, streams[id].perSecond)), Event::Arrival, id);
            break;
        case Event::Finish:
            finish(id);
            break;
        }
    }

    void offer(std::size_t index)
    {
        const Stream &stream = streams[index];
        ++tallies[index].offered;
        const TimePoint now = clock.now();
        const AdmissionDecision decision = m_naiveLimit > 0
            ? offerNaive()
            : admission->offer(
                {WorkspaceName(stream.workspace), stream.priority, stream.innerCall, now + stream.deadline});
        if (decision.outcome == AdmissionOutcome::Refused) {
            ++tallies[index].refused;
            return;
        }
        m_requests[decision.ticket.value] = Request{index, now, now};
        if (decision.outcome == AdmissionOutcome::Admitted) {
            start(decision.ticket.value);
        }
    }

    AdmissionDecision offerNaive()
    {
        const TicketId ticket{++m_lastNaive};
        if (m_naiveRunning < m_naiveLimit) {
            ++m_naiveRunning;
            return {AdmissionOutcome::Admitted, ticket};
        }
        if (m_naiveQueue.size() >= static_cast<std::size_t>(AdmissionSettings().queueLimit)) {
            return {};
        }
        m_naiveQueue.push_back(ticket);
        return {AdmissionOutcome::Queued, ticket};
    }

    void finishNaive()
    {
        if (m_naiveQueue.empty()) {
            --m_naiveRunning;
            return;
        }
        const TicketId next = m_naiveQueue.front();
        m_naiveQueue.pop_front();
        onAdmitted(next);
    }

    void start(std::uint64_t id)
    {
        Request &request = m_requests.at(id);
        request.started = clock.now();
        if (upstream.shedAbove > 0 && m_inUpstream >= upstream.shedAbove) {
            request.outcome = WorkOutcome::Overloaded;
            schedule(std::chrono::milliseconds(1), Event::Finish, id);
            return;
        }
        ++m_inUpstream;
        if (m_serving < upstream.slots) {
            serve(id);
        } else {
            m_upstreamQueue.push_back(id);
        }
    }

    void serve(std::uint64_t id)
    {
        ++m_serving;
        const double excess = std::max(0.0, static_cast<double>(m_inUpstream) / upstream.slots - 1);
        const double mean = upstream.serviceSeconds * (1 + upstream.thrashing * excess);
        const Duration fixed(static_cast<std::int64_t>(mean * (1 - upstream.variation) * 1e9));
        schedule(fixed + exponential(mean * upstream.variation), Event::Finish, id);
    }

    void finish(std::uint64_t id)
    {
        const Request request = m_requests.at(id);
        m_requests.erase(id);
        const TimePoint now = clock.now();
        if (request.outcome == WorkOutcome::Succeeded) {
            --m_inUpstream;
            --m_serving;
            const Duration time = now - request.offered;
            if (time <= streams[request.stream].deadline) {
                ++good;
                Tally &tally = tallies[request.stream];
                ++tally.good;
                tally.longestTime = std::max(tally.longestTime, time);
            }
            if (!m_upstreamQueue.empty() && m_serving < upstream.slots) {
                const std::uint64_t next = m_upstreamQueue.front();
                m_upstreamQueue.pop_front();
                serve(next);
            }
        }
        if (m_naiveLimit > 0) {
            finishNaive();
        } else {
            admission->finish(TicketId{id}, request.outcome, now - request.started);
        }
    }

    SeededRandom m_random;
    std::priority_queue<std::tuple<TimePoint, std::uint64_t, Event, std::uint64_t>,
                        std::vector<std::tuple<TimePoint, std::uint64_t, Event, std::uint64_t>>,
                        std::greater<>>
        m_events;
    std::uint64_t m_order = 0;
    std::map<std::uint64_t, Request> m_requests;
    std::deque<std::uint64_t> m_upstreamQueue;
    std::deque<TicketId> m_naiveQueue;
    int m_naiveLimit = 0;
    int m_naiveRunning = 0;
    std::uint64_t m_lastNaive = 0;
    int m_inUpstream = 0;
    int m_serving = 0;
};

} // namespace vanillatack
