#include "base/inidocument.h"
#include "membership/internal/membertransition.h"
#include "membership/tests/fakenetwork.h"

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <sstream>

using namespace vanillatack;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(MembershipRandom){
    // Injects a random event: crash, restart, new node, pause, resume, draining, upstream change, partition, zone cut.
    void injectFault(FakeNetwork & network, SeededRandom &random, int &fresh){auto position = network.nodes.begin();
std::advance(position, static_cast<std::ptrdiff_t>(random.below(network.nodes.size())));
FakeNode &node = *position->second;
const SelfDescription description = node.description;
switch (random.below(9)) {
case 0:
    network.kill(node);
    break;
case 1: // Same name and address.
    network.kill(node);
    network.startAt(description.endpoint.address, description.node.value, description.zone.value, "service-1");
    break;
case 2: // Same name, other address.
    network.kill(node);
    network.start(description.node.value, description.zone.value, "service-2", description.shareSlot);
    break;
case 3:
    network.start(description.zone.value + "-fresh-" + std::to_string(fresh++), description.zone.value, "service-3");
    break;
case 4:
    node.paused = true;
    break;
case 5:
    network.resume(node);
    break;
case 6:
    node.membership->setDraining(random.below(2) == 0);
    break;
case 7:
    node.membership->setUpstream(ServiceName("service-" + std::to_string(random.below(3))), 50, true);
    break;
default:
    if (random.below(2) == 0) {
        network.cutZones.insert(description.zone);
    } else {
        node.partition = 1;
    }
    break;
}
}

void runSeed(std::uint64_t seed)
{
    FakeNetwork network(seed);
    SeededRandom random(seed + 1000);
    network.loss = 0.02;
    network.duplication = 0.02;
    network.seeds = {{"10.0.0.0", 7400}, {"10.0.0.8", 7400}, {"10.0.0.16", 7400}, {"10.0.0.23", 7400}};
    for (const char *zone : {"zone-a", "zone-b", "zone-c"}) {
        network.startZone(zone, 8);
    }
    int fresh = 0;
    for (int round = 0; round < 60; ++round) {
        network.run(milliseconds(random.below(2500)));
        if (network.nodes.size() > 6) {
            injectFault(network, random, fresh);
        }
        if (random.below(4) == 0) {
            network.cutZones.clear();
            for (auto &[endpoint, node] : network.nodes) {
                node->partition = 0;
            }
        }
    }
    network.cutZones.clear();
    // A seed that is running, as the registry table of the platform provides it.
    const Endpoint known = network.nodes.begin()->second->description.endpoint;
    for (auto &[endpoint, node] : network.nodes) {
        node->partition = 0;
        network.resume(*node);
        node->membership->addSeeds({known});
    }
    const auto time = network.runUntil(seconds(90), [&] {
        return network.viewsMatch();
    });
    if (!time) {
        FAIL(("views differ from the running nodes 90 s after the last fault, seed " + std::to_string(seed)).c_str());
    }
}
}
;

// Guards against combinations of failures after which the views no longer converge to the running nodes.
TEST(MembershipRandom, viewsConvergeAfterChurn)
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        runSeed(seed);
    }
    // The two sides of a partitioned zone created different digests with the same version.
    runSeed(78);
    // The two sides saw each other's digest only briefly between two seed contacts.
    runSeed(631);
}

TEST_GROUP(MemberChart){};

// Guards against a chart file that differs from the transitions in the code.
TEST(MemberChart, fileMatchesTheTransitions)
{
    std::ifstream file(std::string(VT_CHARTS_DIR) + "/member.chart");
    std::stringstream text;
    text << file.rdbuf();
    std::vector<TextProblem> problems;
    const IniDocument chart = IniDocument::parse(text.str(), "member.chart", problems);
    LONGS_EQUAL(0, problems.size());
    int transitions = 0;
    for (const IniSection &section : chart.sections()) {
        if (section.kind != "state") {
            continue;
        }
        const MemberState state = *MemberStateNames.value(section.name);
        for (const IniEntry &entry : section.entries) {
            const bool newer = entry.name.starts_with("newer-");
            const MemberState reported = *MemberStateNames.value(entry.name.substr(newer ? 6 : 5));
            const auto order = newer ? IncarnationOrder::Newer : IncarnationOrder::Same;
            CHECK_TRUE(nextMemberState(state, reported, order) == MemberStateNames.value(entry.value));
            ++transitions;
        }
    }
    LONGS_EQUAL(50, transitions);
}
