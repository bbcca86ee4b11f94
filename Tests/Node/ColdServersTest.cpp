#include "Tests/Virtual/VirtualFleet.h"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr std::size_t Instances = 40;
constexpr std::size_t Servers = 6;
constexpr Milliseconds Patience{ 2000 };
constexpr Milliseconds Gap{ 2 };
constexpr std::uint32_t BornePerSecond = 3;
constexpr std::uint32_t ColdMilliseconds = 3000;
/** What the users' platform allows beyond what a cold server bears. */
constexpr double Allowed = BornePerSecond * 1.5 + 8;

/** What happens half a second before the servers of a data centre come back cold, and whether operators named a bound.
 */
struct Case {
    const char* name;
    std::function<void(VirtualFleet&)> meanwhile;
    std::uint32_t borne; // 0: no bound is named
    bool isKept;
};

void loseAll(VirtualFleet& fleet)
{
    for (std::size_t instance = 0; instance < Instances; ++instance)
        fleet.kill(instance);
    fleet.startAll();
}

void cutHalf(VirtualFleet& fleet)
{
    for (std::size_t instance = 0; instance < Instances; instance += 2)
        fleet.cutFromPeers(instance, true);
}

const std::vector<Case> Cases{
    { "nothing", [](VirtualFleet&) {}, BornePerSecond, true },
    { "all instances begin anew", loseAll, BornePerSecond, true },
    { "half of them are cut off from the others", cutHalf, BornePerSecond, true },
    { "nothing, and no bound", [](VirtualFleet&) {}, 0, false },
};

v1::Configuration configurationOf(const VirtualFleet& fleet, const Case& item, std::uint32_t revision, bool isEmptied)
{
    v1::Configuration configuration = virtualConfiguration(fleet.serverIds(), revision);
    v1::Limits* limits = configuration.mutable_services(0)->mutable_limits();
    limits->set_cold_requests_per_second(item.borne);
    limits->set_cold_start_milliseconds(ColdMilliseconds);
    if (isEmptied)
        configuration.add_emptied_data_centres("dc-2");
    return configuration;
}

void load(VirtualFleet& fleet, Milliseconds span)
{
    const Milliseconds end = fleet.now() + span;
    for (std::size_t turn = 0; fleet.now() < end; ++turn) {
        fleet.send(turn % Instances, "bookings.example", "GET", "/a", Patience);
        fleet.run(Gap);
    }
}

/** The most attempts at one server of dc-2 within any second of a span. */
std::size_t mostInASecond(const VirtualFleet& fleet, Milliseconds from, Milliseconds until)
{
    std::size_t most = 0;
    for (const char* server : { "/s1@", "/s4@" }) {
        std::vector<Milliseconds> times;
        for (const SentAttempt& attempt : fleet.sentAttempts()) {
            const bool isThere = attempt.backendServer.find(server) != std::string::npos;
            if (isThere && attempt.at >= from && attempt.at < until)
                times.push_back(attempt.at);
        }
        for (std::size_t first = 0, next = 0; next < times.size(); ++next) {
            while (times[next] - times[first] > Second)
                ++first;
            most = std::max(most, next - first + 1);
        }
    }
    return most;
}

}

TEST_GROUP(ColdServers){};

// 500 requests a second from 40 instances, as a data centre with a third of the servers is taken back.
TEST(ColdServers, TheWholeFleetKeepsTheirBoundWhenTheyComeBack)
{
    for (const Case& item : Cases) {
        VirtualFleet fleet({ .instances = Instances });
        for (std::size_t server = 0; server < Servers; ++server)
            fleet.addServer({ .id = "s" + std::to_string(server), .slots = 3, .work = { 8 } });
        fleet.configure(configurationOf(fleet, item, 1, true));
        fleet.startAll();
        load(fleet, { 6000 });
        item.meanwhile(fleet);
        load(fleet, Second * 0.5);
        fleet.configure(configurationOf(fleet, item, 2, false));
        const Milliseconds backAt = fleet.now();
        const Milliseconds cold{ static_cast<double>(ColdMilliseconds) };
        load(fleet, cold + Second);
        const std::size_t most = mostInASecond(fleet, backAt, backAt + cold);
        CHECK_TEXT((static_cast<double>(most) <= Allowed) == item.isKept, item.name);
        CHECK_TEXT(
            mostInASecond(fleet, backAt + cold, fleet.now()) > Allowed, "they are used again when they are warm");
    }
}
