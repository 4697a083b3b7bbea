#include "cases.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>

namespace review {

namespace {

std::string configuration(const std::string &service)
{
    const auto route = [&service](const char *name, const char *prefix, const char *kind) {
        return nlohmann::json{{"name", name},
                              {"prefix", prefix},
                              {"kind", kind},
                              {"timeout_s", 5},
                              {"target_latency_s", 1.5},
                              {"priority", 0},
                              {"service", service},
                              {"max_attempts", 2},
                              {"public", false}};
    };
    return nlohmann::json{
        {"version", 7},
        {"services",
         {{{"name", service}, {"health_path", "/health"}, {"max_connections", 1438}, {"protocol", "h1"}, {"tls", false}}}},
        {"limits",
         {{"max_header_bytes", 16384},
          {"max_body_bytes", MaxBodyBytes},
          {"header_timeout_s", 3},
          {"idle_timeout_s", 15}}},
        {"tenants", {{{"name", "pulo780"}, {"api_keys", {Key}}, {"priority", 1}}}},
        {"virtual_hosts",
         {{{"hostname", Host},
           {"paths", {route("r-read", "/read/", "idempotent"), route("r-file", "/file/", "non_idempotent")}}}}}}
        .dump();
}

} // namespace

Fleet::Fleet(Record &fleetRecord, const std::vector<std::string> &services, bool collectOutput)
    : record(fleetRecord)
    , network(freeNetwork())
    , folder(temporaryFolder())
    , store(std::make_unique<Store>(network + ".1", StorePort))
{
    store->put("op", "config", configuration(services.back()));
    for (std::size_t i = 0; i < services.size(); ++i) {
        Machine machine;
        machine.name = "sidecar-pnw-a-" + std::to_string(i + 1);
        machine.zone = "pnw-a";
        machine.ip = network + "." + std::to_string(10 + i);
        machine.service = services[i];
        machine.storeAddress = network + ".1:" + std::to_string(StorePort);
        nodes.push_back(std::make_unique<Node>(machine, folder));
        if (collectOutput) {
            nodes.back()->collectOutput();
        }
    }
    for (const auto &node : nodes) {
        node->start(true);
    }
}

Fleet::~Fleet()
{
    nodes.clear();
    store->stop();
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
}

bool Fleet::waitReady(double seconds)
{
    const double end = secondsNow() + seconds;
    for (const auto &node : nodes) {
        while (!node->ready()) {
            if (secondsNow() > end || !node->running()) {
                record.line(node->machine().name + " is not ready");
                return false;
            }
            sleepSeconds(0.05);
        }
    }
    return true;
}

void Runs::add(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    m_ids.insert(id);
}

bool Runs::contains(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    return m_ids.count(id) > 0;
}

MemoryLimit::MemoryLimit(Fleet &fleet)
    : m_fleet(fleet)
    , m_endedAt(fleet.nodes.size())
    , m_peak(fleet.nodes.size())
    , m_thread([this] {
        watch();
    })
{
}

MemoryLimit::~MemoryLimit()
{
    stop();
}

void MemoryLimit::stop()
{
    m_watching = false;
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void MemoryLimit::watch()
{
    while (m_watching) {
        for (std::size_t i = 0; i < m_fleet.nodes.size(); ++i) {
            Node &node = *m_fleet.nodes[i];
            if (m_endedAt[i] > 0) {
                continue;
            }
            const std::size_t bytes = node.residentBytes();
            m_peak[i] = std::max<std::size_t>(m_peak[i], bytes);
            if (bytes > static_cast<std::size_t>(node.machine().memoryMegabytes) << 20U) {
                m_endedAt[i] = secondsNow();
                node.signal(SIGKILL);
                node.wait();
                m_fleet.record.line(node.machine().name + " holds " + std::to_string(bytes >> 20U)
                                    + " MB, over its memory_mb of " + std::to_string(node.machine().memoryMegabytes)
                                    + ": the platform kills its process");
            }
        }
        sleepSeconds(0.002);
    }
}

double MemoryLimit::endedAt(std::size_t node) const
{
    return m_endedAt[node];
}

std::size_t MemoryLimit::peak(std::size_t node) const
{
    return m_peak[node];
}

std::size_t MemoryLimit::ended() const
{
    return static_cast<std::size_t>(std::count_if(m_endedAt.begin(), m_endedAt.end(), [](const auto &at) {
        return at > 0;
    }));
}

KeptClients::KeptClients(Fleet &fleet, std::size_t node, int count, Runs &runs)
    : m_fleet(fleet)
    , m_node(node)
    , m_runs(runs)
{
    for (int i = 0; i < count; ++i) {
        m_threads.emplace_back([this, i] {
            send(i);
        });
    }
}

KeptClients::~KeptClients()
{
    stop();
}

void KeptClients::stop()
{
    m_sending = false;
    for (std::thread &thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

void KeptClients::send(int client)
{
    const auto stream = Stream::connect(m_fleet.nodes[m_node]->machine().ip, OutboundPort);
    for (int i = 0; stream && m_sending; ++i) {
        const std::string id = "kept-" + std::to_string(m_node) + "-" + std::to_string(client) + "-" + std::to_string(i);
        Message message;
        if (!stream->send(format({"GET", Host, "/read/a", id, Key, 5000, ""})) || !stream->readMessage(message, 6)) {
            const bool ran = m_runs.contains(id);
            m_fleet.record.line(id + " was sent on a kept connection, which ended without an answer; "
                                + (ran ? "an instance has run it" : "it has not run"));
            if (i > 0 && ran) {
                ++m_lost;
            }
            return;
        }
        ++m_answered;
    }
}

} // namespace review
