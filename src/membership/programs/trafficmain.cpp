// Measures messages, bytes, CPU time and memory of membership per node, on the fake network in virtual time.
// Usage: vt_membership_traffic ZONES NODES_PER_ZONE
#include "membership/tests/fakenetwork.h"
#include "wire/codec.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>

using namespace vanillatack;
using std::chrono::seconds;

namespace {

constexpr int Services = 380;
constexpr std::array<const char *, 7> KindNames =
    {"ping", "ping-indirect", "ack", "member-sync", "heartbeat", "delta", "full digest"};
constexpr std::size_t HeaderBytes = 52; // UDP and IP headers and authentication, which the codec does not add.
constexpr std::size_t SampledEvery = 97; // One message in this many is also encoded, to check the size estimate.

struct Traffic {
    std::array<std::uint64_t, KindNames.size()> messages{};
    std::array<std::uint64_t, KindNames.size()> bytes{};
    std::uint64_t sampledEstimate = 0;
    std::uint64_t sampledEncoded = 0;
    std::size_t largestDatagram = 0; ///< Encoded size in bytes of the largest ping, indirect ping or ack sampled.
    std::size_t count = 0;
};

double residentKiB()
{
    std::ifstream status("/proc/self/statm");
    double total = 0;
    double resident = 0;
    status >> total >> resident;
    return resident * 4;
}

void record(Traffic &traffic, const FakeNode &node, const ControlMessage &message)
{
    const std::size_t bytes = estimateBytes(message);
    std::size_t kind = message.index();
    if (const auto *digest = std::get_if<ZoneDigest>(&message)) {
        kind += static_cast<std::size_t>(digest->baseVersion > 0 ? 1 : digest->relays.empty() ? 0 : 2);
    }
    ++traffic.messages.at(kind);
    traffic.bytes.at(kind) += bytes;
    if (++traffic.count % SampledEvery == 0) {
        const std::size_t encoded = encodeFrame(ControlFrame{node.description.endpoint, message}).size() + HeaderBytes;
        traffic.sampledEstimate += bytes;
        traffic.sampledEncoded += encoded;
        if (!std::holds_alternative<MemberSync>(message) && !std::holds_alternative<ZoneDigest>(message)) {
            traffic.largestDatagram = std::max(traffic.largestDatagram, encoded - HeaderBytes);
        }
    }
}

/// Runs for the duration in seconds and prints the mean and highest traffic per running node.
template<class Action>
void measure(FakeNetwork &network, const char *name, int duration, Action everySecond)
{
    Traffic traffic;
    for (auto &[endpoint, node] : network.nodes) {
        node->sentMessages = node->sentBytes = node->receivedBytes = 0;
    }
    network.onSend = [&](const FakeNode &node, const ControlMessage &message) {
        record(traffic, node, message);
    };
    const std::clock_t start = std::clock();
    for (int second = 0; second < duration; ++second) {
        everySecond(second);
        network.run(seconds(1));
    }
    const double cpu = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    network.onSend = nullptr;

    std::vector<double> sent;
    std::vector<double> received;
    double messages = 0;
    for (const auto &[endpoint, node] : network.nodes) {
        sent.push_back(static_cast<double>(node->sentBytes) / duration);
        received.push_back(static_cast<double>(node->receivedBytes) / duration);
        messages += static_cast<double>(node->sentMessages) / duration;
    }
    const auto mean = [](const std::vector<double> &values) {
        double sum = 0;
        for (const double value : values) {
            sum += value;
        }
        return sum / static_cast<double>(values.size()) / 1000;
    };
    const double nodes = static_cast<double>(sent.size());
    std::printf("%-10s messages sent %.1f/s, sent %.2f KB/s (highest %.2f), received %.2f KB/s (highest %.2f), "
                "processor %.3f%% of a core\n",
                name,
                messages / nodes,
                mean(sent),
                *std::ranges::max_element(sent) / 1000,
                mean(received),
                *std::ranges::max_element(received) / 1000,
                100 * cpu / duration / nodes);
    for (std::size_t kind = 0; kind < KindNames.size(); ++kind) {
        std::printf("           %-14s %6.2f/s %8.1f B/s\n",
                    KindNames.at(kind),
                    static_cast<double>(traffic.messages.at(kind)) / duration / nodes,
                    static_cast<double>(traffic.bytes.at(kind)) / duration / nodes);
    }
    std::printf("           encoded / estimated bytes %.2f, largest encoded datagram %zu B\n",
                static_cast<double>(traffic.sampledEncoded)
                    / static_cast<double>(std::max<std::uint64_t>(traffic.sampledEstimate, 1)),
                traffic.largestDatagram);
}

FakeNode &randomNode(FakeNetwork &network)
{
    auto position = network.nodes.begin();
    std::advance(position, static_cast<std::ptrdiff_t>(network.random.below(network.nodes.size())));
    return *position->second;
}

void restart(FakeNetwork &network)
{
    FakeNode &old = randomNode(network);
    const SelfDescription description = old.description;
    const ServiceName service = old.membership->self().service;
    old.membership->leave();
    network.kill(old);
    network.stopped.clear();
    network.startAt(description.endpoint.address,
                    description.node.value,
                    description.zone.value,
                    service.value,
                    description.shareSlot);
}

} // namespace

int main(int argc, char **argv)
{
    const int zones = argc > 1 ? std::atoi(argv[1]) : 1;
    const int nodes = argc > 2 ? std::atoi(argv[2]) : 10;
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    FakeNetwork network(1);
    network.loss = 0.001;
    const double before = residentKiB();
    for (int zone = 0; zone < zones; ++zone) {
        const int first = zone * nodes;
        network.seeds.push_back({"10.0." + std::to_string(first / 250) + "." + std::to_string(first % 250), 7400});
    }
    for (int zone = 0; zone < zones; ++zone) {
        network.startZone("zone-" + std::to_string(zone + 10), nodes, Services, zone * nodes);
    }
    std::printf("%d zones of %d nodes\n", zones, nodes);
    measure(network, "start", 20, [](int) {});
    const auto viewsMatch = [&] {
        return network.viewsMatch();
    };
    // Comparing the views of 2,500 nodes takes longer than simulating them for a second.
    const Duration check = seconds(5);
    const auto joined = network.runUntil(seconds(60), viewsMatch, check);
    std::printf("views %s\n", joined ? "agree after start" : "do not agree within 80 s");
    network.run(seconds(30));
    std::printf("memory %.0f KiB per node, with the fake network\n",
                (residentKiB() - before) / (static_cast<double>(zones) * nodes));
    measure(network, "steady", 30, [](int) {});
    StateVersions versions{1, 1, 0, 0};
    measure(network, "versions", 30, [&](int second) {
        // One change in 30 s at all nodes, more than the 1,700 per day of the design.
        if (second == 0) {
            ++versions.configVersion;
            for (auto &[endpoint, node] : network.nodes) {
                node->membership->setVersions(versions);
            }
        }
    });
    measure(network, "restarts", 30, [&](int second) {
        // One restart every 2 s, 50 times the 870 per day of the design.
        if (second % 2 == 0) {
            restart(network);
        }
    });
    const auto settled = network.runUntil(seconds(60), viewsMatch, check);
    std::printf("views %s\n", settled ? "agree again after restarts" : "do not agree within 60 s after restarts");
    return joined && settled ? 0 : 1;
}
