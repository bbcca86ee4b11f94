#include "Configuration/ConfigurationCodec.h"
#include "Tests/Virtual/VirtualFleet.h"

#include <functional>
#include <string>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr std::size_t EntryInstances = 18;
/** A tenth of the load that the store can take per second: about 100 writes and 2000 reads. */
constexpr std::size_t TenthOfWrites = 10;
constexpr std::size_t TenthOfReads = 200;

VirtualFleet::Options fleetOf(std::size_t instances)
{
    VirtualFleet::Options options;
    options.instances = instances;
    return options;
}

void addServers(VirtualFleet& fleet, std::size_t servers)
{
    for (std::size_t server = 0; server < servers; ++server)
        fleet.addServer({ .id = "s" + std::to_string(server), .work = { 4 } });
    fleet.configure(virtualConfiguration(fleet.serverIds(), 1));
}

std::size_t reads(const VirtualStore& store)
{
    return store.callsOf(StoreOperation::ReadRange) + store.callsOf(StoreOperation::Watch);
}

bool allHave(VirtualFleet& fleet, StoreRevision revision)
{
    for (std::size_t instance = 0; instance < fleet.size(); ++instance) {
        if (!fleet.isAlive(instance) || fleet.node(instance).storeRevision() < revision)
            return false;
    }
    return true;
}

}

TEST_GROUP(Fleet){};

TEST(Fleet, QuietAndInAStormItSparesTheStore)
{
    VirtualFleet fleet(fleetOf(EntryInstances));
    addServers(fleet, 4);
    fleet.startAll();
    fleet.run({ 30000 });
    const std::size_t before = reads(fleet.theStore());
    fleet.run({ 60000 });
    CHECK((reads(fleet.theStore()) - before) / 60 <= TenthOfReads);

    // All instances restart within ten seconds; the store's load must stay within bounds in each second.
    for (std::size_t instance = 0; instance < EntryInstances; ++instance) {
        fleet.clock().after(Milliseconds{ 500 } * static_cast<double>(instance), [&fleet, instance] {
            fleet.kill(instance);
            fleet.start(instance);
        });
    }
    for (int second = 0; second < 30; ++second) {
        const std::size_t readsBefore = reads(fleet.theStore());
        const std::size_t writesBefore = fleet.theStore().callsOf(StoreOperation::Write);
        fleet.run(Second);
        CHECK(reads(fleet.theStore()) - readsBefore <= TenthOfReads);
        CHECK(fleet.theStore().callsOf(StoreOperation::Write) - writesBefore <= TenthOfWrites);
    }
    for (std::size_t instance = 0; instance < EntryInstances; ++instance) {
        CHECK(fleet.node(instance).isReady());
        LONGS_EQUAL(EntryInstances, fleet.node(instance).instances(fleet.now()));
    }
}

TEST(Fleet, TenMinutesWithoutTheStoreChangeNothingForCallers)
{
    VirtualFleet fleet(fleetOf(3));
    addServers(fleet, 4);
    fleet.startAll();
    fleet.run({ 5000 });
    fleet.theStore().setFault(StoreFault::Down);
    const std::size_t calls = fleet.theStore().calls();
    std::size_t sent = 0;
    for (int step = 0; step < 6000; ++step) {
        fleet.send(sent++ % 3, "bookings.example", step % 2 ? "POST" : "GET", "/x", { 1000 });
        fleet.run({ 100 });
    }
    for (const auto& [number, caller] : fleet.callers())
        CHECK(caller.outcome == CallerOutcome::Answered);
    CHECK_TEXT(fleet.theStore().calls() - calls < std::size_t{ 3 } * 600 * 2, "pauses grow while the store is down");
    fleet.theStore().setFault(StoreFault::None);
    const StoreRevision changed = fleet.configure(virtualConfiguration(fleet.serverIds(), 2));
    fleet.run({ 4000 });
    CHECK(allHave(fleet, changed));
}

TEST(Fleet, PlannedStopsInTurnCutAndRefuseNothing)
{
    VirtualFleet fleet(fleetOf(3));
    addServers(fleet, 4);
    fleet.startAll();
    fleet.run({ 5000 });
    std::size_t away = fleet.size(); // the instance that callers do not use at the moment
    std::size_t sent = 0;
    const auto load = [&](Milliseconds span) {
        const Milliseconds end = fleet.now() + span;
        while (fleet.now() < end) {
            for (std::size_t instance = 0; instance < fleet.size(); ++instance) {
                if (instance != away)
                    fleet.send(instance, "bookings.example", sent++ % 2 ? "POST" : "GET", "/x", { 1000 });
            }
            fleet.run({ 20 });
        }
    };
    for (std::size_t instance = 0; instance < fleet.size(); ++instance) {
        fleet.askToStop(instance);
        load({ 2000 });
        CHECK_FALSE(fleet.node(instance).isReady());
        away = instance;
        const Milliseconds begun = fleet.now();
        while (fleet.node(instance).openRequests() && fleet.now() - begun < Milliseconds{ 3000 })
            load({ 100 });
        LONGS_EQUAL_TEXT(0, fleet.node(instance).openRequests(), "the stop ends within its bound");
        fleet.kill(instance);
        load({ 2000 });
        fleet.start(instance);
        load({ 3000 });
        away = fleet.size();
    }
    fleet.run({ 3000 });
    CHECK(sent > 2000);
    for (const auto& [number, caller] : fleet.callers())
        CHECK(caller.outcome == CallerOutcome::Answered);
}

TEST(Fleet, StartedWhileTheStoreIsDownItTakesWhatAnotherInstanceHolds)
{
    VirtualFleet fleet(fleetOf(EntryInstances));
    addServers(fleet, 2);
    fleet.startAll();
    fleet.run({ 15000 });
    const StoreRevision changed = fleet.configure(virtualConfiguration(fleet.serverIds(), 2));
    fleet.run({ 5000 });
    fleet.theStore().setFault(StoreFault::Down);
    std::size_t restarted = 0;
    while (fleet.node(restarted).isWatching())
        ++restarted;
    fleet.kill(restarted);
    fleet.start(restarted);
    CHECK_FALSE_TEXT(fleet.node(restarted).isReady(), "not ready without a configuration");
    fleet.run({ 5000 });
    CHECK(fleet.node(restarted).isReady());
    LONGS_EQUAL(changed, fleet.node(restarted).storeRevision());

    for (std::size_t instance = 0; instance < fleet.size(); ++instance)
        fleet.kill(instance);
    fleet.start(0);
    fleet.run({ 30000 });
    CHECK_FALSE_TEXT(fleet.node(0).isReady(), "not ready when no instance has a configuration");
}

// Guards against duplicate transfers: when every watcher sent every change to
// all instances, and instances that fell behind repeated their pull before it was
// answered, 142 instances sent each other 1.6 GB in 15 s.
TEST(Fleet, AGrowingDirectoryCostsALargeFleetFewBytes)
{
    constexpr std::size_t instances = 142;
    constexpr std::size_t changes = 60;
    VirtualFleet fleet(fleetOf(instances));
    addServers(fleet, 20);
    fleet.startAll();
    fleet.run({ 10000 });
    const std::size_t before = fleet.peerBytes();
    StoreRevision latest = 0;
    std::size_t document = 0;
    for (std::uint32_t change = 0; change < changes; ++change) {
        const v1::Configuration next = virtualConfiguration(fleet.serverIds(), 2 + change);
        document = encodeConfiguration(next).size();
        latest = fleet.configure(next);
        fleet.run({ 50 });
    }
    fleet.run({ 1000 });
    CHECK(allHave(fleet, latest));
    // Changes are sent in batches of 150 ms, each of them once to each instance.
    const std::size_t batches = changes * 50 / 150 + 4;
    const std::size_t needed = document * batches * instances;
    CHECK(fleet.peerBytes() - before < 2 * needed);
}

// Guards against a flood of member lists: during an outage of the store all
// instances became watchers for a moment, and each sent every new watcher its list
// of all members.
TEST(Fleet, AnOutageOfTheStoreCostsALargeFleetFewBytes)
{
    constexpr std::size_t instances = 142;
    constexpr std::size_t bytesOfOneASecond = 4096;
    VirtualFleet fleet(fleetOf(instances));
    addServers(fleet, 20);
    fleet.startAll();
    fleet.run({ 10000 });
    const std::size_t before = fleet.peerBytes();
    fleet.theStore().setFault(StoreFault::Silent);
    fleet.run({ 4000 });
    fleet.theStore().setFault(StoreFault::None);
    fleet.run({ 6000 });
    CHECK(fleet.peerBytes() - before < instances * 10 * bytesOfOneASecond);
    std::size_t watching = 0;
    for (std::size_t instance = 0; instance < instances; ++instance)
        watching += fleet.node(instance).isWatching() ? 1 : 0;
    CHECK_TEXT(watching <= 6, "most instances have stopped watching again");
    LONGS_EQUAL(instances, fleet.node(0).instances(fleet.now()));
}

TEST(Fleet, APartOfTheFleetThatKnowsNoWatcherFindsOne)
{
    // All seeds of the settings are gone, so only addresses learned earlier can be used.
    VirtualFleet fleet(fleetOf(8));
    addServers(fleet, 2);
    fleet.startAll();
    fleet.run({ 15000 });
    for (std::size_t instance = 0; instance < 3; ++instance)
        fleet.kill(instance);
    for (std::size_t instance = 3; instance < fleet.size(); ++instance) {
        if (fleet.node(instance).isWatching())
            fleet.kill(instance);
    }
    fleet.run({ 12000 });
    std::size_t watching = 0;
    for (std::size_t instance = 3; instance < fleet.size(); ++instance)
        watching += fleet.isAlive(instance) && fleet.node(instance).isWatching() ? 1 : 0;
    CHECK(watching >= 1 && watching <= 3);
}

// Instances 2 and 3 send no requests or probes to the leaving backend server, so
// they can learn only from instance 1, to whose request the server announced that
// it is leaving.
TEST(Fleet, AnInstanceThatMetNoSignOfLeavingHearsOfItFromAnother)
{
    VirtualFleet::Options options = fleetOf(3);
    options.requests.probes = false;
    VirtualFleet fleet(options);
    addServers(fleet, 1);
    fleet.startAll();
    fleet.run({ 8000 });
    fleet.server("s0").setLeaving(true);
    fleet.send(0, "bookings.example", "GET", "/x", { 1000 });
    fleet.run({ 2000 });
    for (std::size_t instance = 0; instance < fleet.size(); ++instance)
        STRCMP_EQUAL(
            "leaving", fleet.node(instance).showLoad("bookings", fleet.now()).backend_servers(0).state().c_str());
    const auto refused = fleet.send(1, "bookings.example", "GET", "/x", { 1000 });
    fleet.run({ 1500 });
    CHECK(fleet.callers().at(refused).outcome == CallerOutcome::NotRun);
    CHECK(fleet.callers().at(refused).reason == RefusalReason::NoBackendServer);
    LONGS_EQUAL(1, fleet.sentAttempts().size());
}
