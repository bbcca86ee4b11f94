// One of several servers announces in its answers that it is leaving, while the
// store is unavailable. An instance that receives the notice must send the server
// no further request, and must inform the other instances.

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

constexpr std::size_t Servers = 4;
constexpr const char* LeavingName = "s0";
/** Time for the notice to reach all instances; a leaving server must receive nothing new after a few seconds. */
constexpr Milliseconds KnownWithin{ 1000 };
constexpr Milliseconds Settling{ 4000 };
constexpr Milliseconds Watched{ 12000 };

/** The load, and a fault at the time of the first notice. */
struct Case {
    const char* name;
    std::size_t instances;
    Milliseconds between; // interval of requests of the whole fleet
    Milliseconds work; // service time of a request
    std::function<void(VirtualFleet&)> plan; // called when the server begins to announce that it is leaving
    bool hears = true; // all instances receive each other's messages
};

void nothing(VirtualFleet&) { }

void cutOneFromOthers(VirtualFleet& fleet)
{
    fleet.cutFromPeers(1, true);
}

void killTheWatchers(VirtualFleet& fleet)
{
    for (std::size_t instance = 0; instance < fleet.size(); ++instance) {
        if (!fleet.node(instance).isWatching())
            continue;
        fleet.kill(instance);
        fleet.start(instance);
    }
}

void returnTheRecord(VirtualFleet& fleet)
{
    std::vector<std::string> others = fleet.serverIds();
    std::erase(others, LeavingName);
    fleet.clock().after({ 3000 }, [&fleet, others] {
        fleet.theStore().setFault(StoreFault::None);
        fleet.configure(virtualConfiguration(others, 2));
    });
    fleet.clock().after({ 6000 }, [&fleet] { fleet.configure(virtualConfiguration(fleet.serverIds(), 3)); });
}

const std::vector<Case> Cases{
    { "low load", 3, { 8 }, { 20 }, nothing },
    { "requests wait for free slots", 3, { 3 }, { 40 }, nothing },
    { "slow requests, which are hedged", 3, { 30 }, { 200 }, nothing },
    { "many instances", 95, { 6 }, { 20 }, nothing },
    { "one instance is cut off from the others", 4, { 8 }, { 20 }, cutOneFromOthers, false },
    { "the watchers restart", 6, { 8 }, { 20 }, killTheWatchers, false },
    { "the record is removed and written again", 4, { 8 }, { 20 }, returnTheRecord },
};

bool isLeavingServer(const std::string& id)
{
    return id.find(std::string("/") + LeavingName + "@") != std::string::npos;
}

/** Counts attempts that an instance sends to a server that it knows to be leaving. */
class SentInSpite {
public:
    explicit SentInSpite(VirtualFleet& fleet)
    {
        fleet.observe([this, &fleet](std::size_t instance, std::string_view step) {
            if (step == "send-attempt" && isLeavingServer(fleet.sentAttempts().back().backendServer))
                this->sent += this->isKnownAt(fleet, instance) ? 1 : 0;
        });
    }

    std::size_t count() const { return this->sent; }

private:
    static bool isKnownAt(VirtualFleet& fleet, std::size_t instance)
    {
        const auto load = fleet.node(instance).showLoad("bookings", fleet.now());
        return std::any_of(load.backend_servers().begin(), load.backend_servers().end(),
            [](const auto& server) { return isLeavingServer(server.backend_server()) && server.state() == "leaving"; });
    }

    std::size_t sent = 0;
};

std::size_t sentLater(const VirtualFleet& fleet, Milliseconds than)
{
    const auto& sent = fleet.sentAttempts();
    return static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(),
        [&](const SentAttempt& attempt) { return attempt.at > than && isLeavingServer(attempt.backendServer); }));
}

/** A single instance without probes, which receives notices only in answers to requests. */
VirtualFleet::Options oneWithoutProbes()
{
    VirtualFleet::Options options;
    options.instances = 1;
    options.requests.probes = false;
    return options;
}

void play(const Case& item)
{
    VirtualFleet::Options options;
    options.instances = item.instances;
    VirtualFleet fleet(options);
    for (std::size_t server = 0; server < Servers; ++server)
        fleet.addServer({ .id = "s" + std::to_string(server), .work = item.work });
    fleet.configure(virtualConfiguration(fleet.serverIds(), 1));
    const SentInSpite inSpite(fleet);
    fleet.startAll();
    fleet.run(Settling);
    fleet.repeat([](std::size_t) { return VirtualRequest{}; }, item.between);
    fleet.run(Settling);
    fleet.theStore().setFault(StoreFault::Silent);
    fleet.run(Second);
    fleet.server(LeavingName).setLeaving(true);
    const Milliseconds saidAt = fleet.now();
    item.plan(fleet);
    fleet.run(Watched);
    CHECK_TEXT(sentLater(fleet, saidAt - Settling) > 0, item.name);
    LONGS_EQUAL_TEXT(0, inSpite.count(), item.name);
    for (const std::string& sentence : sentAgainstWords(fleet))
        FAIL((std::string(item.name) + ": " + sentence).c_str());
    if (item.hears)
        LONGS_EQUAL_TEXT(0, sentLater(fleet, saidAt + KnownWithin), item.name);
}

}

TEST_GROUP(LeavingServers){};

TEST(LeavingServers, GetNothingMoreFromWhoeverHeardThem)
{
    for (const Case& item : Cases)
        play(item);
}

// All three servers announce that they are leaving while requests wait for free
// slots. The waiting requests must be refused as soon as the last server's notice
// arrives.
TEST(LeavingServers, WhenAllLeaveThoseThatWaitAreRefusedAtOnce)
{
    VirtualFleet fleet(oneWithoutProbes());
    for (const char* id : { "s0", "s1", "s2" })
        fleet.addServer({ .id = id, .work = { 50 } });
    fleet.configure(virtualConfiguration(fleet.serverIds(), 1));
    fleet.startAll();
    fleet.run(Settling);
    for (const char* id : { "s0", "s1", "s2" })
        fleet.server(id).setLeaving(true);
    constexpr int burst = 60;
    std::vector<std::uint64_t> callers;
    callers.reserve(burst);
    for (int request = 0; request < burst; ++request)
        callers.push_back(fleet.send(0, VirtualRequest{}));
    fleet.run({ 80 });
    std::size_t refused = 0;
    for (const std::uint64_t caller : callers) {
        const VirtualCaller& ended = fleet.callers().at(caller);
        refused += ended.outcome == CallerOutcome::NotRun && ended.reason == RefusalReason::NoBackendServer ? 1 : 0;
    }
    CHECK(refused >= burst / 2);
    const std::uint64_t late = fleet.send(0, VirtualRequest{});
    CHECK(fleet.callers().at(late).outcome == CallerOutcome::NotRun);
    CHECK(fleet.callers().at(late).reason == RefusalReason::NoBackendServer);
}

// The notice in an answer must count even when the caller has disconnected or
// another server answered first.
TEST(LeavingServers, AnAnswerThatNobodyWaitsForAnyMoreIsHeard)
{
    VirtualFleet fleet(oneWithoutProbes());
    fleet.addServer({ .id = "s0", .work = { 50 } });
    fleet.configure(virtualConfiguration(fleet.serverIds(), 1));
    fleet.startAll();
    fleet.run(Settling);
    fleet.server("s0").setLeaving(true);
    const std::uint64_t caller = fleet.send(0, VirtualRequest{});
    // 1 ms to the server and 50 ms there: at 51.5 ms the answer is in transit.
    fleet.run({ 51.5 });
    fleet.leave(caller);
    CHECK(fleet.callers().at(caller).outcome == CallerOutcome::Left);
    fleet.run({ 10 });
    const auto refused = fleet.send(0, VirtualRequest{});
    CHECK(fleet.callers().at(refused).reason == RefusalReason::NoBackendServer);
    LONGS_EQUAL(1, fleet.sentAttempts().size());
}
