// Backend servers state in their answers how many requests per second they take
// from all instances together. The whole fleet must keep to this limit in every
// sliding window under all of these faults, and must make use of it.

#include "Tests/Virtual/LimitPlay.h"
#include "Tests/Virtual/ParallelRuns.h"

#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

void noFault(VirtualFleet&) { }

std::size_t grantingInstance(VirtualFleet& fleet)
{
    for (std::size_t instance = 0; instance < fleet.size(); ++instance) {
        if (fleet.isAlive(instance) && fleet.node(instance).grantsPermits(fleet.now()))
            return instance;
    }
    return 0;
}

void killGrantingInstance(VirtualFleet& fleet)
{
    fleet.clock().after({ 5000 }, [&fleet] {
        const std::size_t granting = grantingInstance(fleet);
        fleet.kill(granting);
        fleet.clock().after({ 1000 }, [&fleet, granting] { fleet.start(granting); });
    });
}

void suspendGrantingInstance(VirtualFleet& fleet)
{
    fleet.clock().after({ 5000 }, [&fleet] {
        const std::size_t granting = grantingInstance(fleet);
        fleet.freeze(granting);
        fleet.clock().after({ 4000 }, [&fleet, granting] { fleet.wake(granting); });
    });
}

void partitionGrantingInstance(VirtualFleet& fleet)
{
    fleet.clock().after({ 4000 }, [&fleet] {
        const std::size_t granting = grantingInstance(fleet);
        fleet.cutFromPeers(granting, true);
        fleet.clock().after({ 5000 }, [&fleet, granting] { fleet.cutFromPeers(granting, false); });
    });
}

void partitionInHalves(VirtualFleet& fleet)
{
    fleet.clock().after({ 4000 }, [&fleet] {
        for (std::size_t instance = 0; instance < fleet.size(); ++instance)
            fleet.setSide(instance, instance % 2);
    });
    fleet.clock().after({ 10000 }, [&fleet] {
        for (std::size_t instance = 0; instance < fleet.size(); ++instance)
            fleet.setSide(instance, 0);
    });
}

void partitionInHalvesBefore(VirtualFleet& fleet)
{
    for (std::size_t instance = 0; instance < fleet.size(); ++instance)
        fleet.setSide(instance, instance % 2);
}

void killAll(VirtualFleet& fleet)
{
    fleet.clock().after({ 5000 }, [&fleet] {
        for (std::size_t instance = 0; instance < fleet.size(); ++instance) {
            fleet.kill(instance);
            fleet.clock().after({ 200 }, [&fleet, instance] { fleet.start(instance); });
        }
    });
}

void takeStoreDown(VirtualFleet& fleet)
{
    fleet.theStore().setFault(StoreFault::Down);
}

void startSecondHalf(VirtualFleet& fleet)
{
    for (std::size_t instance = fleet.size() / 2; instance < fleet.size(); ++instance)
        fleet.clock().after({ 2000 }, [&fleet, instance] { fleet.start(instance); });
}

const std::vector<LimitPlay> Plays{
    { "one server of four", 2, 4, 1, 2.7, { 15 }, noFault, false },
    { "all servers, two instances", 2, 2, 2, 2.7, { 40 }, noFault },
    { "all servers, 13 instances", 13, 5, 5, 2.7, { 15 }, noFault },
    { "half a request a second", 13, 2, 2, 0.5, { 50 }, noFault },
    { "a high limit", 13, 2, 2, 30, { 8 }, noFault },
    { "95 instances", 95, 6, 6, 3, { 8 }, noFault },
    { "the granting instance is killed", 13, 2, 2, 5, { 20 }, killGrantingInstance, false },
    { "the granting instance is suspended", 13, 2, 2, 5, { 20 }, suspendGrantingInstance, false },
    { "the granting instance is partitioned", 13, 2, 2, 5, { 20 }, partitionGrantingInstance, false },
    { "a partition in halves", 12, 2, 2, 5, { 20 }, partitionInHalves, false },
    { "a partition in halves before the limit is known", 12, 2, 2, 5, { 20 }, partitionInHalvesBefore, false, false },
    { "all are killed and restart", 13, 2, 2, 5, { 20 }, killAll, false, false },
    { "the store is down", 13, 2, 2, 5, { 20 }, takeStoreDown },
    { "half of the fleet joins", 26, 2, 2, 5, { 20 }, startSecondHalf, false, true, 13 },
};

}

TEST_GROUP(ServerRateLimiter){};

// An answer without a limit is the only sign that the limit has ended; all instances must learn of it from one answer.
TEST(ServerRateLimiter, EndForAllInstancesWithTheWord)
{
    VirtualFleet::Options options;
    options.instances = 6;
    VirtualFleet fleet(options);
    fleet.addServer({ .id = "s0" });
    fleet.configure(virtualConfiguration(fleet.serverIds(), 1));
    fleet.startAll();
    fleet.run({ 6000 });
    fleet.repeat([](std::size_t) { return VirtualRequest{}; }, { 20 });
    fleet.server("s0").setLimit(2);
    fleet.run({ 3000 });
    for (std::size_t instance = 0; instance < fleet.size(); ++instance)
        STRCMP_EQUAL(
            "limited", fleet.node(instance).showLoad("bookings", fleet.now()).backend_servers(0).state().c_str());
    fleet.server("s0").setLimit(std::nullopt);
    fleet.run({ 2000 });
    const std::size_t before = fleet.server("s0").arrivals();
    fleet.run(Second);
    CHECK(fleet.server("s0").arrivals() - before >= 45);
}

TEST(ServerRateLimiter, RefuseAtOnceWhatNoPermitComesFor)
{
    VirtualFleet::Options options;
    options.instances = 1;
    VirtualFleet fleet(options);
    fleet.addServer({ .id = "s0" });
    fleet.configure(virtualConfiguration(fleet.serverIds(), 1));
    fleet.startAll();
    fleet.run({ 8000 });
    fleet.server("s0").setLimit(0.4);
    fleet.send(0, VirtualRequest{});
    fleet.run(Second);
    for (int turn = 0; turn < 2; ++turn) {
        fleet.send(0, VirtualRequest{});
        fleet.run({ 100 });
    }
    const auto refused = fleet.send(0, VirtualRequest{});
    fleet.run(Second);
    const VirtualCaller& caller = fleet.callers().at(refused);
    CHECK(caller.outcome == CallerOutcome::NotRun);
    CHECK(caller.reason == RefusalReason::BackendServersLimited);
    CHECK_TEXT(caller.endedAt - caller.sentAt < Milliseconds{ 10 }, "at once");
    CHECK_TEXT(caller.comeBackAfter >= Milliseconds{ 500 }, "not before there is a permit");
}

TEST(ServerRateLimiter, AreKeptByTheWholeFleetAndUsed)
{
    std::vector<std::vector<std::string>> found(Plays.size());
    runInParallel(Plays.size(), [&](std::size_t index) { found[index] = played(Plays[index]); });
    for (std::size_t index = 0; index < Plays.size(); ++index) {
        for (const std::string& sentence : found[index])
            FAIL((std::string(Plays[index].name) + ": " + sentence).c_str());
    }
}
