#include "membership/tests/fakenetwork.h"

#include <CppUTest/TestHarness.h>

using namespace vanillatack;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(Membership)
{
    FakeNetwork network{7};

    void startZones(int zones, int nodes)
    {
        network.seeds = {{"10.0.0.0", 7400}, {"10.0.0." + std::to_string(nodes), 7400}};
        for (int zone = 0; zone < zones; ++zone) {
            network.startZone("zone-" + std::string(1, static_cast<char>('a' + zone)), nodes);
        }
    }

    void converge(Duration limit)
    {
        const auto time = network.runUntil(limit, [&] {
            return network.viewsMatch();
        });
        CHECK_TRUE(time.has_value());
    }

    bool seesMember(FakeNode & node, const std::string &name)
    {
        for (const Member &member : node.membership->members()) {
            if (member.node.value == name) {
                return true;
            }
        }
        return false;
    }

    bool allNodesSee(const std::string &zone, const std::string &name, bool expected)
    {
        for (const auto &[endpoint, node] : network.nodes) {
            if (node->description.zone.value == zone && seesMember(*node, name) != expected) {
                return false;
            }
        }
        return true;
    }
};

// Guards against nodes that never discover each other when all start at once and packets are lost.
TEST(Membership, joinsConvergeDespiteLossAndDuplicates)
{
    network.loss = 0.03;
    network.duplication = 0.03;
    startZones(3, 20);
    converge(seconds(30));
}

// Guards against slow failure detection in a zone of the design size, and against false positives without failures.
TEST(Membership, failuresInAZoneOf200AreDetectedInSeconds)
{
    network.loss = 0.01;
    startZones(1, 200);
    converge(seconds(60));
    network.run(seconds(20));
    LONGS_EQUAL(200, network.node("zone-a-node-007").membership->members().size());
    for (const char *name : {"zone-a-node-000", "zone-a-node-050", "zone-a-node-199"}) {
        network.kill(network.node(name));
    }
    const auto half = network.runUntil(seconds(10), [&] {
        int aware = 0;
        for (const auto &[endpoint, node] : network.nodes) {
            aware += seesMember(*node, "zone-a-node-050") ? 0 : 1;
        }
        return aware * 2 > 200;
    });
    CHECK_TRUE(half.has_value() && *half <= seconds(3));
    const auto all = network.runUntil(seconds(10), [&] {
        return network.viewsMatch();
    });
    CHECK_TRUE(all.has_value() && *half + *all <= seconds(5));
}

// Guards against new work for a leaving instance, in any zone (docs/design.md, R10).
TEST(Membership, drainingIsVisibleInAllZonesWithinFiveSeconds)
{
    network.loss = 0.02;
    startZones(5, 12);
    converge(seconds(30));
    network.node("zone-c-node-001").membership->setDraining(true);
    const auto time = network.runUntil(seconds(10), [&] {
        return network.viewsMatch();
    });
    CHECK_TRUE(time.has_value() && *time <= seconds(5));
    network.node("zone-c-node-001").membership->leave();
    network.kill(network.node("zone-c-node-001"));
    const auto removed = network.runUntil(seconds(10), [&] {
        return network.viewsMatch();
    });
    CHECK_TRUE(removed.has_value() && *removed <= seconds(5));
}

// Guards against a restarted first relay whose digest lists only itself, which would remove the contacts of its zone.
TEST(Membership, restartedFirstRelayKeepsTheContactsOfItsZone)
{
    startZones(2, 40);
    converge(seconds(30));
    FakeNode &observer = network.node("zone-a-node-020");
    network.kill(network.node("zone-b-node-000"));
    network.startAt("10.0.0.40", "zone-b-node-000", "zone-b", "service-0", 0);
    for (int check = 0; check < 100; ++check) {
        network.run(milliseconds(100));
        LONGS_EQUAL(8 + 3, observer.services[ServiceName("service-1")].size());
    }
    converge(seconds(10));
}

// Guards against contacts of an unreachable zone that stay listed, and against zones that do not reconnect.
TEST(Membership, cutOffZoneIsReportedAndMergesAgain)
{
    startZones(4, 8);
    converge(seconds(30));
    network.cutZones.insert(ZoneName("zone-b"));
    network.run(seconds(12));
    FakeNode &inside = network.node("zone-b-node-003");
    FakeNode &outside = network.node("zone-a-node-003");
    CHECK_TRUE(*inside.membership->timeSinceOtherZoneMessage() > seconds(8));
    CHECK_TRUE(*outside.membership->timeSinceOtherZoneMessage() < seconds(4));
    for (const Member &member : outside.services[ServiceName("service-1")]) {
        CHECK_TRUE(member.zone.value != "zone-b");
    }
    for (const ZoneStatus &status : outside.membership->zones()) {
        CHECK_EQUAL(status.zone.value != "zone-b", status.reachable);
    }
    network.cutZones.clear();
    converge(seconds(30));
}

// Guards against the two sides of a partitioned zone considering each other dead forever.
TEST(Membership, partitionedZoneMergesAgain)
{
    startZones(2, 30);
    converge(seconds(30));
    for (auto &[endpoint, node] : network.nodes) {
        node->partition = node->description.zone.value == "zone-a" && node->startIndex % 2 == 0 ? 1 : 0;
    }
    network.run(seconds(60));
    LONGS_EQUAL(15, network.node("zone-a-node-001").membership->members().size());
    for (auto &[endpoint, node] : network.nodes) {
        node->partition = 0;
    }
    converge(seconds(60));
}

// Guards against a zone that other zones no longer reach after all its VMs were replaced, with new or the same names.
TEST(Membership, zoneWithAllNodesReplacedIsFoundAgain)
{
    startZones(3, 8);
    converge(seconds(30));
    for (const std::string name : {"zone-c-new-", "zone-c-node-00"}) {
        std::vector<FakeNode *> old;
        for (auto &[endpoint, node] : network.nodes) {
            if (node->description.zone.value == "zone-c") {
                old.push_back(node.get());
            }
        }
        for (FakeNode *node : old) {
            network.kill(*node);
        }
        for (int index = 0; index < 8; ++index) {
            network.start(name + std::to_string(index), "zone-c", "service-1");
        }
        converge(seconds(60));
    }
}

// Guards against a paused node that stays dead, or that declares other members dead when it resumes.
TEST(Membership, pausedNodeIsSuspectedAndRefutes)
{
    startZones(1, 20);
    converge(seconds(30));
    FakeNode &node = network.node("zone-a-node-010");
    for (const Duration pause : {Duration(milliseconds(1500)), Duration(seconds(15)), Duration(seconds(120))}) {
        const std::uint64_t before = node.membership->self().incarnation;
        node.paused = true;
        network.run(pause);
        CHECK_EQUAL(pause < seconds(2), allNodesSee("zone-a", "zone-a-node-010", true));
        network.resume(node);
        for (int check = 0; check < 30; ++check) {
            network.run(milliseconds(100));
            CHECK_TRUE(allNodesSee("zone-a", "zone-a-node-001", true) || pause > seconds(60));
            CHECK_TRUE(network.node("zone-a-node-001").membership->members().size() >= 19);
        }
        converge(seconds(20));
        CHECK_TRUE(pause < seconds(2) || node.membership->self().incarnation > before);
    }
}

// Guards against the paused old process of a replaced VM that resumes and takes its name from the replacement.
TEST(Membership, supersededProcessStopsSending)
{
    startZones(1, 10);
    converge(seconds(30));
    FakeNode &old = network.node("zone-a-node-004");
    old.paused = true;
    network.run(seconds(5));
    FakeNode &replacement = network.start("zone-a-node-004", "zone-a", "service-4");
    network.run(seconds(5));
    const std::uint64_t incarnation = replacement.membership->self().incarnation;
    network.resume(old);
    network.run(seconds(20));
    for (const auto &[endpoint, node] : network.nodes) {
        for (const Member &member : node->membership->members()) {
            CHECK_TRUE(node.get() == &old || member.node != replacement.description.node
                       || member.endpoint == replacement.description.endpoint);
        }
    }
    LONGS_EQUAL(incarnation, replacement.membership->self().incarnation);
    const std::uint64_t sent = old.sentMessages;
    network.run(seconds(5));
    LONGS_EQUAL(sent, old.sentMessages);
    network.kill(old);
    converge(seconds(10));
}

// Guards against rejecting a replacement VM at the same address: one with the same name and a clock that is behind, and
// one with another name.
TEST(Membership, replacementAtTheSameAddressIsAccepted)
{
    startZones(1, 10);
    converge(seconds(30));
    network.kill(network.node("zone-a-node-004"));
    auto skewed = std::make_unique<FakeNode>();
    FakeNode &same = network.startAt("10.0.0.4", "zone-a-node-004", "zone-a", "service-4");
    same.wallSkew = -seconds(3600);
    same.membership = makeMembership(same, *same.random, same, same, same.description, network.settings);
    converge(seconds(10));
    network.kill(network.node("zone-a-node-005"));
    network.startAt("10.0.0.5", "zone-a-fresh", "zone-a", "service-4");
    converge(seconds(10));
}

// Guards against delayed gossip that revives a dead member, before and after its entry was removed.
TEST(Membership, deadMemberIsNotResurrectedByStaleGossip)
{
    network.settings.deadRetention = seconds(30);
    startZones(1, 10);
    converge(seconds(30));
    FakeNode &failing = network.node("zone-a-node-004");
    const Member stale = failing.membership->self();
    network.kill(failing);
    FakeNode &witness = network.node("zone-a-node-001");
    for (const Duration wait : {seconds(5), seconds(60)}) {
        network.run(wait);
        Ack gossip;
        gossip.self = network.node("zone-a-node-002").membership->self();
        gossip.updates = {stale};
        witness.membership->receive(gossip.self.endpoint, gossip);
        witness.membership->receive(gossip.self.endpoint, MemberSync{gossip.self.node, false, {stale}});
        CHECK_FALSE(seesMember(witness, "zone-a-node-004"));
    }
    converge(seconds(5));
}

// Guards against two nodes that both lend the same quota share.
TEST(Membership, duplicateShareSlotBelongsToTheLowestName)
{
    startZones(2, 6);
    network.start("zone-a-node-0000", "zone-a", "", 1);
    converge(seconds(30));
    for (const char *name : {"zone-a-node-003", "zone-b-node-003"}) {
        int holders = 0;
        for (const Member &owner : network.node(name).membership->shareOwners()) {
            if (owner.zone.value == "zone-a" && owner.shareSlot == 1) {
                ++holders;
                STRCMP_EQUAL("zone-a-node-0000", owner.node.value.c_str());
            }
        }
        LONGS_EQUAL(1, holders);
        LONGS_EQUAL(8, network.node(name).membership->shareOwners().size());
    }
    network.kill(network.node("zone-a-node-0000"));
    converge(seconds(10));
    STRCMP_EQUAL("zone-a-node-001", network.node("zone-a-node-003").membership->shareOwners()[1].node.value.c_str());
}

// Guards against reporting a version as in force in a zone before every node has it, or too late.
TEST(Membership, zoneStatusCarriesTheLowestVersionInForce)
{
    startZones(2, 40);
    converge(seconds(30));
    const auto lowest = [&](const char *observer, const char *zone) {
        for (const ZoneStatus &status : network.node(observer).membership->zones()) {
            if (status.zone.value == zone) {
                return status.versions.configVersion;
            }
        }
        return std::uint64_t(0);
    };
    for (auto &[endpoint, node] : network.nodes) {
        if (node->description.node.value != "zone-a-node-020") {
            node->membership->setVersions({5, 5, 0, 0});
        }
    }
    network.run(seconds(10));
    LONGS_EQUAL(5, network.node("zone-a-node-020").highestPeerVersions.configVersion);
    LONGS_EQUAL(0, lowest("zone-b-node-017", "zone-a"));
    LONGS_EQUAL(5, lowest("zone-a-node-017", "zone-b"));
    network.node("zone-a-node-020").membership->setVersions({5, 5, 0, 0});
    network.run(seconds(6));
    LONGS_EQUAL(5, lowest("zone-b-node-017", "zone-a"));
    LONGS_EQUAL(5, lowest("zone-a-node-017", "zone-a"));
}
