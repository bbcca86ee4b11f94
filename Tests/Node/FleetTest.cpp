#include "Tests/Virtual/VirtualFleet.h"

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr std::size_t EntryInstances = 18;
constexpr double TenthOfWrites = 10; // a second, of some hundred
constexpr double TenthOfReads = 200; // a second, of two thousand

VirtualFleet::Options options(std::size_t nodes, std::size_t servers)
{
    VirtualFleet::Options made;
    made.nodes = nodes;
    made.backendServers = servers;
    made.tick = { 20 };
    return made;
}

}

TEST_GROUP(Fleet){};

TEST(Fleet, QuietAndInAStormItSparesThePlatformsService)
{
    VirtualFleet fleet(options(EntryInstances, 4));
    fleet.start();
    fleet.runUntil({ 30000 });
    const std::uint64_t readsBefore = fleet.store.reads;
    const std::uint64_t writesBefore = fleet.store.writes;
    fleet.runUntil({ 90000 });
    CHECK(static_cast<double>(fleet.store.reads - readsBefore) / 60 <= TenthOfReads);
    CHECK(static_cast<double>(fleet.store.writes - writesBefore) / 60 <= TenthOfWrites);

    // All restart within ten seconds; no second may be too expensive.
    for (std::size_t node = 0; node < EntryInstances; ++node) {
        fleet.time.after(Milliseconds{ 500 } * static_cast<double>(node), [&fleet, node] {
            fleet.kill(node);
            fleet.startNode(node);
        });
    }
    for (int second = 0; second < 30; ++second) {
        const std::uint64_t reads = fleet.store.reads;
        const std::uint64_t writes = fleet.store.writes;
        fleet.runUntil(fleet.time.now() + Second);
        CHECK(static_cast<double>(fleet.store.reads - reads) <= TenthOfReads);
        CHECK(static_cast<double>(fleet.store.writes - writes) <= TenthOfWrites);
    }
    for (std::size_t node = 0; node < EntryInstances; ++node) {
        CHECK(fleet.node(node).isReady());
        LONGS_EQUAL(EntryInstances, fleet.node(node).ownership().members_size());
    }
}

TEST(Fleet, LoadFiguresComeWithinTheBudgetThroughAStoreOutageOfTenMinutes)
{
    constexpr double budget = 30;
    VirtualFleet fleet(options(3, 4));
    fleet.start();
    fleet.runUntil({ 20000 });
    fleet.store.faults.down = true;
    fleet.runUntil({ 620000 });
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        const v1::ShowLoadAnswer load = fleet.node(node).showLoad("bookings", fleet.time.now());
        for (const v1::BackendServerLoad& server : load.backend_servers())
            CHECK(server.report_age_milliseconds() < 3000);
    }
    for (const auto& probes : fleet.probeTimes) {
        CHECK(probes.size() > 600);
        for (std::size_t first = 0; first < probes.size(); ++first) {
            double sum = 0;
            for (std::size_t other = first; other < probes.size() && probes[other].from < probes[first].from + Second;
                 ++other)
                sum += (probes[other].to - probes[other].from).count;
            CHECK(sum <= budget + 1e-6);
        }
    }
}

TEST(Fleet, PlannedStopsInTurnCutAndRefuseNothing)
{
    VirtualFleet fleet(options(3, 4));
    fleet.start();
    fleet.runUntil({ 5000 });
    int sent = 0;
    int answered = 0;
    std::size_t stopped = fleet.size(); // the one that callers leave alone
    const std::function<void()> send = [&] {
        if (fleet.time.now().count >= 80000)
            return;
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            if (node == stopped)
                continue;
            CallerWork work;
            work.arrival.host = "bookings";
            work.arrival.method = sent % 2 ? "POST" : "GET";
            work.arrival.path = "/";
            work.arrival.requestId = "stop-" + std::to_string(sent);
            work.runsOnce = sent % 2 == 1;
            work.cost = { 4 };
            work.done = [&](const RequestEnd& end) {
                answered += end.answered && end.result == AttemptResult::Answered ? 1 : 0;
            };
            ++sent;
            fleet.request(node, work);
        }
        fleet.time.after({ 20 }, send);
    };
    send();
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        fleet.stop(node);
        const Milliseconds lead{ 2000 };
        fleet.runUntil(fleet.time.now() + lead);
        stopped = node;
        const Milliseconds begun = fleet.time.now();
        while (!fleet.node(node).mayEnd() && fleet.time.now() < begun + Milliseconds{ 20000 })
            fleet.runUntil(fleet.time.now() + Milliseconds{ 100 });
        CHECK_TEXT(fleet.node(node).mayEnd(), "the stop ends within its bound");
        fleet.kill(node);
        fleet.runUntil(fleet.time.now() + lead);
        fleet.startNode(node);
        fleet.runUntil(fleet.time.now() + Milliseconds{ 5000 });
        stopped = fleet.size();
    }
    fleet.runUntil({ 90000 });
    CHECK(sent > 3000);
    LONGS_EQUAL(sent, answered);
}

// The list cannot be read either: the new life knows nobody until a peer that
// knows its address introduces itself. Coordinators get reports from all, so
// another instance is restarted.
TEST(Fleet, StartedWhileTheStoreIsDownItTakesWhatAPeerHolds)
{
    VirtualFleet fleet(options(EntryInstances, 2));
    fleet.start();
    fleet.runUntil({ 15000 });
    v1::ChangeRequest request;
    request.set_change_id("before");
    request.mutable_set_limits()->set_service("bookings");
    fleet.change(0, request, [](const v1::ChangeAnswer&) {});
    fleet.runUntil({ 20000 });
    fleet.store.faults.down = true;
    std::size_t restarted = 0;
    while (fleet.node(restarted).platformPlan().watchesDocuments)
        ++restarted;
    fleet.kill(restarted);
    fleet.startNode(restarted);
    CHECK_FALSE_TEXT(fleet.node(restarted).isReady(), "not ready without a configuration");
    fleet.runUntil({ 30000 });
    CHECK(fleet.node(restarted).isReady());
    LONGS_EQUAL(2, fleet.revisionOf(restarted));

    for (std::size_t node = 0; node < fleet.size(); ++node)
        fleet.kill(node);
    fleet.startNode(0);
    fleet.runUntil({ 60000 });
    CHECK_FALSE_TEXT(fleet.node(0).isReady(), "not ready when nobody holds one");
}
