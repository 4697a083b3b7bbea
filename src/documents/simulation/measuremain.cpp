// Measures the load of document replication on nodes and on the platform, in virtual time. See
// docs/design-notes/documents.md.
#include "documents/simulation/simulatedfleet.h"

#include <CLI/CLI.hpp>

#include <iostream>

using namespace vanillatack;

namespace {

struct Options {
    FleetOptions fleet;
    int seconds = 600;
    int changesPerDay = 1700;
    int withdrawalsPerDay = 100;
    int withdrawnBefore = 700; ///< Keys withdrawn before the measurement, within the retention.
    std::size_t contentBytes = 100'000;
    bool platformDown = false; ///< The platform is unavailable during the measurement, so no documents are changed.
};

/// Mean and maximum time until a change has reached every node.
class SpreadTimes
{
public:
    void add(Duration duration)
    {
        m_longest = std::max(m_longest, duration);
        m_total += duration;
        ++m_count;
    }

    [[nodiscard]] double longestSeconds() const
    {
        return std::chrono::duration<double>(m_longest).count();
    }

    [[nodiscard]] double meanSeconds() const
    {
        return m_count == 0 ? 0 : std::chrono::duration<double>(m_total).count() / m_count;
    }

private:
    Duration m_longest{0};
    Duration m_total{0};
    int m_count = 0;
};

/// Runs in steps of 10 ms until the condition holds on every node, for at most 60 s. Returns the time taken.
Duration runUntilEverywhere(SimulatedFleet &fleet, const std::function<bool(int)> &has)
{
    const TimePoint start = fleet.clock.now();
    while (fleet.countWhereNot(has) > 0 && fleet.clock.now() - start < std::chrono::seconds(60)) {
        fleet.run(std::chrono::milliseconds(10));
    }
    return fleet.clock.now() - start;
}

void change(SimulatedFleet &fleet, const Options &options, SeededRandom &random, SpreadTimes &times)
{
    const int node = static_cast<int>(random.below(static_cast<std::uint64_t>(fleet.size())));
    const std::uint64_t base = fleet.documents(node).versions().configVersion;
    std::string content = random.hexToken();
    content.resize(options.contentBytes, 'x');
    fleet.apply(node,
                {.kind = DocumentKind::Configuration,
                 .baseVersion = base,
                 .content = content,
                 .author = "measure",
                 .note = "change"});
    times.add(runUntilEverywhere(fleet, [&](int each) {
        return fleet.documents(each).versions().configVersion > base;
    }));
}

void withdraw(SimulatedFleet &fleet, SeededRandom &random, SpreadTimes &times)
{
    const int node = static_cast<int>(random.below(static_cast<std::uint64_t>(fleet.size())));
    const KeyId key("key-" + random.hexToken(64));
    fleet.documents(node).withdraw(key, [](const Result<void> &) {});
    times.add(runUntilEverywhere(fleet, [&](int each) {
        return fleet.documents(each).isWithdrawn(key);
    }));
}

void addEarlierWithdrawals(SimulatedFleet &fleet, int count, SeededRandom &random)
{
    for (int index = 0; index < count; ++index) {
        fleet.documents(0).withdraw(KeyId("key-" + random.hexToken(64)), [](const Result<void> &) {});
    }
    fleet.run(std::chrono::seconds(30));
}

void report(const SimulatedFleet &fleet, const Options &options, double seconds, double nodeSeconds)
{
    const SimulatedPlatformCounters &counters = fleet.platform.counters;
    std::cout << "zones " << options.fleet.zones << ", nodes " << fleet.size() << ", seed " << options.fleet.seed
              << ", seconds " << seconds << "\n"
              << "platform: row reads/s " << static_cast<double>(counters.reads) / seconds << ", scans/s "
              << static_cast<double>(counters.scans) / seconds << ", object reads/s "
              << static_cast<double>(counters.objectReads) / seconds << ", writes/s "
              << static_cast<double>(counters.writes + counters.objectWrites) / seconds << "\n"
              << "node: messages/s " << static_cast<double>(fleet.traffic.messages) / nodeSeconds << ", bytes/s "
              << static_cast<double>(fleet.traffic.bytes) / nodeSeconds << ", content pushes/s "
              << static_cast<double>(fleet.traffic.pushes) / nodeSeconds << "\n";
}

void measure(const Options &options)
{
    SeededRandom random(options.fleet.seed + 7);
    SimulatedFleet fleet(options.fleet);
    fleet.bootstrap();
    addEarlierWithdrawals(fleet, options.withdrawnBefore, random);
    fleet.traffic = {};
    fleet.platform.counters = {};
    fleet.platform.faults.down = options.platformDown;

    SpreadTimes changes;
    SpreadTimes withdrawals;
    const TimePoint start = fleet.clock.now();
    const TimePoint end = start + std::chrono::seconds(options.seconds);
    const double perSecond = (options.changesPerDay + options.withdrawalsPerDay) / 86'400.0;
    const double withdrawalShare =
        static_cast<double>(options.withdrawalsPerDay) / (options.changesPerDay + options.withdrawalsPerDay);
    while (fleet.clock.now() < end) {
        fleet.run(std::chrono::milliseconds(static_cast<int>(2000 * random.fraction() / perSecond)));
        if (random.fraction() < withdrawalShare) {
            withdraw(fleet, random, withdrawals);
        } else if (!options.platformDown) {
            change(fleet, options, random, changes);
        }
    }
    const double seconds = std::chrono::duration<double>(fleet.clock.now() - start).count();
    report(fleet, options, seconds, seconds * fleet.size());
    std::cout << "everywhere after: change mean " << changes.meanSeconds() << " s, longest " << changes.longestSeconds()
              << " s; withdrawal mean " << withdrawals.meanSeconds() << " s, longest " << withdrawals.longestSeconds()
              << " s\n";
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Measures the traffic of documents and withdrawn keys in virtual time.");
    Options options;
    app.add_option("--zones", options.fleet.zones, "Number of zones")->capture_default_str();
    app.add_option("--nodes-per-zone", options.fleet.nodesPerZone, "Number of nodes in each zone")
        ->capture_default_str();
    app.add_option("--seed", options.fleet.seed, "Seed of the random numbers")->capture_default_str();
    app.add_option("--seconds", options.seconds, "Virtual time to simulate, in seconds")->capture_default_str();
    app.add_option("--changes-per-day", options.changesPerDay, "Configuration changes per day")->capture_default_str();
    app.add_option("--withdrawals-per-day", options.withdrawalsPerDay, "Withdrawn keys per day")->capture_default_str();
    app.add_option("--withdrawn-before", options.withdrawnBefore, "Keys withdrawn before the measurement")
        ->capture_default_str();
    app.add_option("--content-bytes", options.contentBytes, "Size of a new configuration in bytes")
        ->capture_default_str();
    app.add_flag("--platform-down", options.platformDown, "Platform unavailable; measures withdrawals only");
    CLI11_PARSE(app, argc, argv);
    measure(options);
    return 0;
}
