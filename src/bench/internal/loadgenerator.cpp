#include "bench/loadgenerator.h"

#include "base/random.h"
#include "transport/upstreamclient.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace vanillatack {

namespace {

struct Arrival {
    std::size_t stream = 0;
    Duration at{0};
    std::uint64_t number = 0;
};

bool inSurge(const LoadStream &stream, Duration at)
{
    return at >= stream.surgeFrom && at < stream.surgeUntil;
}

/// Generates arrivals with exponentially distributed intervals; the same for the same seed.
std::vector<Arrival> planArrivals(const LoadPlan &plan)
{
    std::vector<Arrival> arrivals;
    SeededRandom random(static_cast<std::uint64_t>(plan.seed));
    for (std::size_t index = 0; index < plan.streams.size(); ++index) {
        const LoadStream &stream = plan.streams[index];
        double seconds = 0;
        const double end = std::chrono::duration<double>(plan.duration).count();
        while (seconds < end) {
            const auto at = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
            const double rate = stream.rate * (inSurge(stream, at) ? stream.surgePercent / 100.0 : 1.0);
            seconds += -std::log(1.0 - random.fraction()) / std::max(rate, 0.001);
            const auto next = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
            arrivals.push_back({index, next, arrivals.size()});
        }
    }
    std::sort(arrivals.begin(), arrivals.end(), [](const Arrival &left, const Arrival &right) {
        return left.at < right.at;
    });
    return arrivals;
}

class LoadRun
{
public:
    explicit LoadRun(const LoadPlan &plan)
        : m_plan(plan)
        , m_arrivals(planArrivals(plan))
        , m_client(makeUpstreamClient(clientSettings()))
        , m_runId(SystemRandom().hexToken(64))
    {
    }

    std::vector<LoadSample> run()
    {
        m_start = std::chrono::steady_clock::now();
        std::vector<std::thread> threads;
        threads.reserve(static_cast<std::size_t>(m_plan.maxClients) + 1);
        threads.emplace_back([this] {
            runEvents();
        });
        const auto clients = std::min<std::size_t>(static_cast<std::size_t>(m_plan.maxClients), m_arrivals.size());
        for (std::size_t index = 0; index < clients; ++index) {
            threads.emplace_back([this] {
                runClient();
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        return std::move(m_samples);
    }

private:
    static UpstreamClientSettings clientSettings()
    {
        UpstreamClientSettings settings;
        settings.maxIdle = 4000;
        settings.idleLifetime = std::chrono::seconds(3);
        return settings;
    }

    void runEvents()
    {
        std::vector<LoadEvent> events = m_plan.events;
        std::sort(events.begin(), events.end(), [](const LoadEvent &left, const LoadEvent &right) {
            return left.at < right.at;
        });
        for (const LoadEvent &event : events) {
            std::this_thread::sleep_until(m_start + event.at);
            for (const Endpoint &target : event.targets) {
                const TimePoint deadline = std::chrono::steady_clock::now() + std::chrono::seconds(1);
                m_client->send(target, {"POST", event.path, {}, {}}, deadline, NoSocket);
            }
        }
    }

    void runClient()
    {
        while (true) {
            const std::size_t next = m_next++;
            if (next >= m_arrivals.size()) {
                return;
            }
            const Arrival &arrival = m_arrivals[next];
            std::this_thread::sleep_until(m_start + arrival.at);
            LoadSample sample = runRequest(arrival);
            const std::lock_guard lock(m_mutex);
            m_samples.push_back(std::move(sample));
        }
    }

    LoadSample runRequest(const Arrival &arrival)
    {
        const LoadStream &stream = m_plan.streams[arrival.stream];
        // Measured from the planned arrival, so that a stalled client does not hide queueing time.
        const TimePoint begin = m_start + arrival.at;
        const TimePoint deadline = begin + m_plan.clientDeadline;
        LoadSample sample;
        sample.stream = arrival.stream;
        sample.startedAt = arrival.at;
        const HttpRequest request = makeRequest(stream, arrival);
        while (sample.tries <= m_plan.retries && std::chrono::steady_clock::now() < deadline) {
            const Endpoint &target = stream.targets[(arrival.number + sample.tries) % stream.targets.size()];
            ++sample.tries;
            const UpstreamAnswer answer = m_client->send(target, request, deadline, NoSocket);
            classify(answer, request, sample);
            const bool mayRetry = !stream.operation || stream.idempotencyKey || sample.kind == "not-run";
            if (sample.succeeded || !mayRetry) {
                break;
            }
            std::this_thread::sleep_for(m_plan.retryDelay);
        }
        sample.latency = std::chrono::steady_clock::now() - begin;
        sample.succeeded = sample.succeeded && sample.latency <= m_plan.clientDeadline;
        return sample;
    }

    HttpRequest makeRequest(const LoadStream &stream, const Arrival &arrival) const
    {
        const std::string marker = absl::StrCat(m_runId, "-", arrival.number);
        constexpr std::size_t BodyBytes = 512;
        HttpRequest request{stream.method, stream.path, {{"Marker", marker}}, {}};
        if (stream.method != "GET") {
            request.body = std::string(BodyBytes, 'b');
        }
        if (!stream.key.empty()) {
            request.headers.emplace_back("Authorization", "Bearer " + stream.key);
        }
        if (stream.operation) {
            request.headers.emplace_back("Operation-Id", marker);
        }
        if (stream.idempotencyKey) {
            request.headers.emplace_back("Idempotency-Key", marker);
        }
        return request;
    }

    static void classify(const UpstreamAnswer &answer, const HttpRequest &request, LoadSample &sample)
    {
        sample.kind = "broken";
        sample.status = answer.complete ? answer.response.status : 0;
        if (!answer.complete) {
            return;
        }
        if (sample.status < 400) {
            const bool matches = answer.response.body.bytes().find(request.headers.front().second) != std::string::npos;
            sample.succeeded = matches;
            sample.kind = matches ? "" : "wrong-answer";
            return;
        }
        const nlohmann::json problem = nlohmann::json::parse(answer.response.body.bytes(), nullptr, false);
        sample.kind = problem.is_object() ? problem.value("kind", "upstream-error") : "upstream-error";
    }

    const LoadPlan &m_plan;
    const std::vector<Arrival> m_arrivals;
    std::unique_ptr<IUpstreamClient> m_client;
    const std::string m_runId;
    TimePoint m_start;
    std::atomic<std::size_t> m_next = 0;
    std::mutex m_mutex;
    std::vector<LoadSample> m_samples;
};

} // namespace

std::vector<LoadSample> runLoad(const LoadPlan &plan)
{
    return LoadRun(plan).run();
}

} // namespace vanillatack
