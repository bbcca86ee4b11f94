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
constexpr std::uint32_t ColdLimitPerSecond = 3;
constexpr std::uint32_t ColdMilliseconds = 3000;
/** Most requests per second that the platform accepts at one cold server; higher than the server's cold-start limit. */
constexpr double MaxPerSecond = ColdLimitPerSecond * 1.5 + 8;

/** The event half a second before a data centre's servers are taken back cold, and their cold-start limit. */
struct Case {
    const char* name;
    std::function<void(VirtualFleet&)> fault;
    std::uint32_t coldLimit; // cold-start limit in requests per second; 0: none
    bool limitHolds; // whether the limit is expected to hold
};

void restartAll(VirtualFleet& fleet)
{
    for (std::size_t instance = 0; instance < Instances; ++instance)
        fleet.kill(instance);
    fleet.startAll();
}

void partitionHalf(VirtualFleet& fleet)
{
    for (std::size_t instance = 0; instance < Instances; instance += 2)
        fleet.cutFromPeers(instance, true);
}

const std::vector<Case> Cases{
    { "nothing", [](VirtualFleet&) {}, ColdLimitPerSecond, true },
    { "all instances restart", restartAll, ColdLimitPerSecond, true },
    { "half of the instances are partitioned from the others", partitionHalf, ColdLimitPerSecond, true },
    { "nothing, without a cold-start limit", [](VirtualFleet&) {}, 0, false },
};

v1::Configuration configurationOf(const VirtualFleet& fleet, const Case& item, std::uint32_t revision, bool isEmptied)
{
    v1::Configuration configuration = virtualConfiguration(fleet.serverIds(), revision);
    v1::Limits* limits = configuration.mutable_services(0)->mutable_limits();
    limits->set_cold_requests_per_second(item.coldLimit);
    limits->set_cold_start_milliseconds(ColdMilliseconds);
    if (isEmptied)
        configuration.add_emptied_data_centres("dc-2");
    return configuration;
}

void load(VirtualFleet& fleet, Milliseconds duration)
{
    const Milliseconds end = fleet.now() + duration;
    for (std::size_t turn = 0; fleet.now() < end; ++turn) {
        fleet.send(turn % Instances, "bookings.example", "GET", "/a", Patience);
        fleet.run(Gap);
    }
}

/** The highest number of attempts at one server of dc-2 in any second of the interval. */
std::size_t maxInOneSecond(const VirtualFleet& fleet, Milliseconds from, Milliseconds until)
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

// Sends 500 requests per second through 40 instances while a data centre with a third of the servers is taken back into
// use.
TEST(ColdServers, TheWholeFleetKeepsTheirBoundWhenTheyComeBack)
{
    for (const Case& item : Cases) {
        VirtualFleet fleet({ .instances = Instances });
        for (std::size_t server = 0; server < Servers; ++server)
            fleet.addServer({ .id = "s" + std::to_string(server), .slots = 3, .work = { 8 } });
        fleet.configure(configurationOf(fleet, item, 1, true));
        fleet.startAll();
        load(fleet, { 6000 });
        item.fault(fleet);
        load(fleet, Second * 0.5);
        fleet.configure(configurationOf(fleet, item, 2, false));
        const Milliseconds backAt = fleet.now();
        const Milliseconds cold{ static_cast<double>(ColdMilliseconds) };
        load(fleet, cold + Second);
        const std::size_t most = maxInOneSecond(fleet, backAt, backAt + cold);
        CHECK_TEXT((static_cast<double>(most) <= MaxPerSecond) == item.limitHolds, item.name);
        CHECK_TEXT(maxInOneSecond(fleet, backAt + cold, fleet.now()) > MaxPerSecond,
            "the servers are used again once they are warm");
    }
}
