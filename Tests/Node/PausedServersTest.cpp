// Servers refuse requests and ask the instance for a pause. During the pause
// that instance must send neither requests nor hedges nor probes; other
// instances are not affected; the end of a pause must not cause a burst.

#include "Tests/Virtual/VirtualFleet.h"
#include "Tests/Virtual/WordsKept.h"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr Milliseconds Settling{ 4000 };
constexpr Milliseconds AfterPause{ 100 };

/** Servers that refuse all requests for the duration of a pause, the load, and additional events. */
struct Case {
    const char* name;
    std::size_t instances;
    std::size_t servers;
    std::size_t asking; // number of servers that ask for a pause
    Milliseconds pause;
    Milliseconds interval; // between requests to the whole fleet
    Milliseconds work;
    std::function<void(VirtualFleet&)> plan;
};

void noEvent(VirtualFleet&) { }

void removeAndRestoreRecords(VirtualFleet& fleet)
{
    fleet.clock().after({ 600 }, [&fleet] { fleet.configure(virtualConfiguration({ "s9" }, 2)); });
    fleet.clock().after({ 900 }, [&fleet] { fleet.configure(virtualConfiguration(fleet.serverIds(), 3)); });
}

const std::vector<Case> Cases{
    { "one of four", 3, 4, 1, { 2000 }, { 5 }, { 20 }, noEvent },
    { "all at once", 3, 4, 4, { 2000 }, { 5 }, { 20 }, noEvent },
    { "all at once, many instances", 95, 30, 30, { 3000 }, { 2 }, { 20 }, noEvent },
    { "slow requests, which are hedged", 3, 4, 2, { 2000 }, { 40 }, { 200 }, noEvent },
    { "requests are queued for free slots", 3, 3, 1, { 1500 }, { 3 }, { 40 }, noEvent },
    { "the servers' records are removed and restored", 3, 4, 4, { 3000 }, { 5 }, { 20 }, removeAndRestoreRecords },
};

/** The requests that a server can process or queue in the AfterPause period that follows its pause. */
std::size_t maxAtReturn(const Case& item)
{
    constexpr double slots = 3;
    constexpr double queue = 6;
    return static_cast<std::size_t>(slots * (AfterPause / item.work) + queue);
}

bool asksForPause(const Case& item, const std::string& id)
{
    for (std::size_t server = 0; server < item.asking; ++server) {
        if (id.find("/s" + std::to_string(server) + "@") != std::string::npos)
            return true;
    }
    return false;
}

void setPausing(VirtualFleet& fleet, const Case& item, bool begins)
{
    for (std::size_t server = 0; server < item.asking; ++server) {
        fleet.server("s" + std::to_string(server)).setPause(item.pause);
        fleet.server("s" + std::to_string(server)).setFault(begins ? ServerFault::Refuses : ServerFault::None);
    }
}

void runCase(const Case& item)
{
    VirtualFleet::Options options;
    options.instances = item.instances;
    VirtualFleet fleet(options);
    for (std::size_t server = 0; server < item.servers; ++server)
        fleet.addServer({ .id = "s" + std::to_string(server), .work = item.work });
    fleet.configure(virtualConfiguration(fleet.serverIds(), 1));
    fleet.startAll();
    fleet.run(Settling);
    fleet.repeat([](std::size_t) { return VirtualRequest{}; }, item.interval);
    fleet.run(Settling);
    setPausing(fleet, item, true);
    const Milliseconds from = fleet.now();
    item.plan(fleet);
    fleet.run(item.pause);
    setPausing(fleet, item, false);
    fleet.run(item.pause);
    CHECK_TEXT(!fleet.heardNotices().empty(), item.name);
    for (const std::string& sentence : sentAgainstWords(fleet))
        FAIL((std::string(item.name) + ": " + sentence).c_str());
    const auto& sent = fleet.sentAttempts();
    const Milliseconds end = from + item.pause;
    const auto returned = std::count_if(sent.begin(), sent.end(), [&](const SentAttempt& attempt) {
        return attempt.backendServer.find("/s0@") != std::string::npos && attempt.at >= end
            && attempt.at < end + AfterPause;
    });
    CHECK_TEXT(static_cast<std::size_t>(returned) <= maxAtReturn(item), item.name);
    const bool isUsedAgain = std::any_of(sent.begin(), sent.end(),
        [&](const SentAttempt& attempt) { return asksForPause(item, attempt.backendServer) && attempt.at > end; });
    CHECK_TEXT(isUsedAgain, item.name);
}

}

TEST_GROUP(PausedServers){};

TEST(PausedServers, GetNothingFromWhoeverTheyAsked)
{
    for (const Case& item : Cases)
        runCase(item);
}

TEST(PausedServers, OtherInstancesAreNotHeldBack)
{
    VirtualFleet::Options options;
    options.instances = 3;
    options.requests.probes = false;
    VirtualFleet fleet(options);
    fleet.addServer({ .id = "s0" });
    fleet.configure(virtualConfiguration(fleet.serverIds(), 1));
    fleet.startAll();
    fleet.run(Settling);
    fleet.server("s0").setPause({ 60000 });
    fleet.server("s0").setFault(ServerFault::Refuses);
    const auto turnedAway = fleet.send(0, VirtualRequest{});
    fleet.run(Second);
    fleet.server("s0").setFault(ServerFault::None);
    fleet.run(Second);
    const auto held = fleet.send(0, VirtualRequest{});
    const auto other = fleet.send(1, VirtualRequest{});
    fleet.run(Second);
    CHECK(fleet.callers().at(turnedAway).outcome == CallerOutcome::NotRun);
    CHECK(fleet.callers().at(held).outcome == CallerOutcome::NotRun);
    CHECK(fleet.callers().at(held).reason == RefusalReason::BackendServersPaused);
    CHECK_TEXT(fleet.callers().at(held).endedAt - fleet.callers().at(held).sentAt < Milliseconds{ 1 }, "at once");
    CHECK(fleet.callers().at(held).comeBackAfter >= Second);
    CHECK(fleet.callers().at(other).outcome == CallerOutcome::Answered);
}

// After a pause a server gets one request; each successful answer then doubles the number of concurrent requests.
TEST(PausedServers, AreGivenMoreRequestsAsTheyAnswer)
{
    VirtualFleet::Options options;
    options.instances = 1;
    options.requests.probes = false;
    VirtualFleet fleet(options);
    fleet.addServer({ .id = "s0", .slots = 8, .work = { 50 } });
    fleet.configure(virtualConfiguration(fleet.serverIds(), 1));
    fleet.startAll();
    fleet.run(Settling);
    fleet.server("s0").setPause({ 100 });
    fleet.server("s0").setFault(ServerFault::Refuses);
    fleet.send(0, VirtualRequest{});
    fleet.run({ 10 });
    fleet.server("s0").setFault(ServerFault::None);
    fleet.run({ 30 });
    constexpr int waiting = 8;
    const std::size_t before = fleet.sentAttempts().size();
    for (int request = 0; request < waiting; ++request)
        fleet.send(0, VirtualRequest{});
    std::vector<std::size_t> atOnce;
    std::size_t seen = before;
    for (int step = 0; step < 400; ++step) {
        fleet.run({ 1 });
        const std::size_t sent = fleet.sentAttempts().size();
        if (sent != seen)
            atOnce.push_back(sent - seen);
        seen = sent;
    }
    CHECK(atOnce.size() >= 3);
    LONGS_EQUAL(1, atOnce[0]);
    LONGS_EQUAL(2, atOnce[1]);
}
