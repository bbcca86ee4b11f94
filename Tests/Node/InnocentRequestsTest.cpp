// Requests in flight on servers that crash for another reason, or because of
// another request, must not be taken for the cause and refused.

#include "Tests/Virtual/ParallelRuns.h"
#include "Tests/Virtual/VirtualFleet.h"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr std::size_t Instances = 6;
constexpr Milliseconds Settling{ 2000 };
constexpr Milliseconds Gap{ 8 };
constexpr Milliseconds Watched{ 20000 };
constexpr Milliseconds Down{ 1500 };
constexpr Milliseconds Patience{ 1000 };
/** Number of distinct requests; each is sent repeatedly, also after a failure. */
constexpr std::size_t Identities = 20;

void setAll(VirtualFleet& fleet, const std::vector<std::string>& servers, ServerFault fault)
{
    for (const std::string& id : servers)
        fleet.server(id).setFault(fault);
}

/** Kills these servers together and restarts them after a while, repeatedly. */
void repeatCrashes(VirtualFleet& fleet, const std::vector<std::string>& servers, Milliseconds every, Milliseconds down)
{
    for (Milliseconds at = every; at < Watched; at = at + every) {
        fleet.clock().after(at, [&fleet, servers] { setAll(fleet, servers, ServerFault::Dead); });
        fleet.clock().after(at + down, [&fleet, servers] { setAll(fleet, servers, ServerFault::None); });
    }
}

struct Case {
    const char* name;
    std::function<void(VirtualFleet&)> plan;
    Milliseconds crashingInterval = Never; // interval of requests that crash servers; Never: none are sent
    std::size_t crashingRequests = 3; // number of distinct crashing requests, which differ in their bodies
    std::size_t servers = 9;
    /**
     * Harmless requests that may be refused, of about 2,500. With a dozen crashing requests on three servers, harmless
     * ones cannot be distinguished from them for a while.
     */
    std::size_t maxRefused = 0;
};

const std::vector<Case> Cases{
    { "a rack fails, four times",
        [](VirtualFleet& fleet) {
            repeatCrashes(fleet, { "s0", "s1", "s2" }, { 4000 }, Down);
        } },
    { "a data centre fails, four times",
        [](VirtualFleet& fleet) {
            repeatCrashes(fleet, { "s1", "s4", "s7" }, { 4000 }, Down);
        } },
    { "all servers crash, four times",
        [](VirtualFleet& fleet) { repeatCrashes(fleet, fleet.serverIds(), { 4000 }, Down); } },
    { "a server restarts repeatedly", [](VirtualFleet& fleet) { repeatCrashes(fleet, { "s0" }, { 600 }, { 300 }); } },
    { "two servers restart repeatedly",
        [](VirtualFleet& fleet) {
            repeatCrashes(fleet, { "s0" }, { 600 }, { 300 });
            repeatCrashes(fleet, { "s5" }, { 700 }, { 350 });
        } },
    { "servers lose answers",
        [](VirtualFleet& fleet) {
            setAll(fleet, { "s0", "s1", "s2" }, ServerFault::LosesAnswers);
        } },
    { "servers become unreachable",
        [](VirtualFleet& fleet) {
            setAll(fleet, { "s0", "s1", "s2" }, ServerFault::Dark);
        } },
    { "all servers lose answers for a while",
        [](VirtualFleet& fleet) {
            setAll(fleet, fleet.serverIds(), ServerFault::LosesAnswers);
            fleet.clock().after({ 5000 }, [&fleet] { setAll(fleet, fleet.serverIds(), ServerFault::None); });
        } },
    { "crashing requests", [](VirtualFleet&) {}, { 150 } },
    { "crashing requests and a rack that fails",
        [](VirtualFleet& fleet) {
            repeatCrashes(fleet, { "s0", "s1", "s2" }, { 4000 }, Down);
        },
        { 150 } },
    { "twelve crashing requests and three servers", [](VirtualFleet&) {}, { 20 }, 12, 3, 80 },
    { "six crashing requests and five servers", [](VirtualFleet&) {}, { 100 }, 6, 5 },
};

VirtualRequest identity(std::size_t number)
{
    // Requests differ only in caller, body or path. A third of them is run-once.
    const bool runsOnce = number % 3 == 0;
    return { .method = runsOnce ? "POST" : "GET",
        .path = number % 4 == 0 ? "/crews/8" : "/crews/7",
        .caller = "10.0.2." + std::to_string(number % 5),
        .body = std::to_string(number),
        .timeLeft = Patience };
}

struct Outcome {
    std::size_t refused = 0; // harmless requests refused as crashing servers
    std::size_t crashingRefused = 0;
};

Outcome runCase(const Case& item)
{
    VirtualFleet fleet({ .instances = Instances });
    for (std::size_t server = 0; server < item.servers; ++server)
        fleet.addServer({ .id = "s" + std::to_string(server), .work = { 40 }, .workSpread = 0.5 });
    fleet.configure(virtualConfiguration(fleet.serverIds(), 1));
    fleet.startAll();
    fleet.run(Settling);
    item.plan(fleet);
    Milliseconds nextCrashing = item.crashingInterval == Never ? Never : fleet.now();
    std::size_t turn = 0;
    std::size_t crashingTurn = 0;
    const Milliseconds end = fleet.now() + Watched;
    while (fleet.now() < end) {
        const std::size_t number = turn++;
        fleet.send(number % Instances, identity(number % Identities));
        if (fleet.now() >= nextCrashing) {
            fleet.send(number % Instances,
                { .path = "/crews/7",
                    .caller = "10.0.2.1",
                    .body = "x" + std::to_string(crashingTurn++ % item.crashingRequests),
                    .crashesServers = true });
            nextCrashing = nextCrashing + item.crashingInterval;
        }
        fleet.run(Gap);
    }
    Outcome outcome;
    for (const auto& [number, caller] : fleet.callers()) {
        const bool isRefused
            = caller.outcome != CallerOutcome::Answered && caller.reason == RefusalReason::CrashesBackendServers;
        std::size_t& count = caller.crashesServers ? outcome.crashingRefused : outcome.refused;
        count += isRefused ? 1 : 0;
    }
    return outcome;
}

}

TEST_GROUP(InnocentRequests){};

TEST(InnocentRequests, AreServedWhereverServersEnd)
{
    std::vector<Outcome> outcomes(Cases.size());
    runInParallel(Cases.size(), [&](std::size_t index) { outcomes[index] = runCase(Cases[index]); });
    for (std::size_t index = 0; index < Cases.size(); ++index) {
        CHECK_TEXT(outcomes[index].refused <= Cases[index].maxRefused, Cases[index].name);
        const bool hasCrashing = Cases[index].crashingInterval != Never;
        CHECK_EQUAL_TEXT(hasCrashing, outcomes[index].crashingRefused > 50, Cases[index].name);
    }
}
