#include "Tests/Virtual/VirtualFleet.h"

#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr Milliseconds Target{ 300 };
constexpr Milliseconds Patience{ 10000 };
/** Processing time of the bookings that occupy the sound server. */
constexpr Milliseconds Work{ 400 };
/** Two hedge checks after the sound server has a free slot again, and the processing time. */
constexpr Milliseconds AnsweredWithin{ 1500 };

/** Answered requests before, which earn the budget for the hedge. */
constexpr int EarlierRequests = 15;

/** The servers besides the silent one when a hedge is first considered. */
struct Case {
    const char* name;
    std::vector<std::string> servers;
    bool isOneDead;
};

const std::vector<Case> Cases{
    { "the only other server is full for a short time", { "sound", "silent" }, false },
    { "one other server is dead and one is full for a short time", { "sound", "silent", "dead" }, true },
};

v1::Configuration configurationOf(const std::vector<std::string>& servers, std::uint32_t revision)
{
    v1::Configuration configuration = virtualConfiguration(servers, revision);
    v1::Service* service = configuration.mutable_services(0);
    service->mutable_limits()->set_deadline_milliseconds(static_cast<std::uint32_t>(Patience.count));
    v1::RequestRule* search = service->add_rules();
    search->set_method("GET");
    search->set_path_prefix("/");
    search->set_repeat(v1::MAY_REPEAT);
    search->set_target_milliseconds(static_cast<std::uint32_t>(Target.count));
    return configuration;
}

/** Runs a search whose first attempt is never answered, while all slots of the sound server hold bookings. */
VirtualCaller runSearch(const Case& item)
{
    VirtualFleet::Options options;
    options.instances = 1;
    VirtualFleet fleet(options);
    for (const std::string& id : item.servers)
        fleet.addServer({ .id = id, .work = Work });
    fleet.server("silent").setFault(ServerFault::Hangs);
    if (item.isOneDead)
        fleet.server("dead").setFault(ServerFault::Dead);
    fleet.configure(configurationOf({ "sound" }, 1));
    fleet.startAll();
    fleet.run({ 500 });
    // An instance begins without a budget for hedges.
    for (int request = 0; request < EarlierRequests; ++request) {
        fleet.send(0, "bookings.example", "GET", "/search", Patience);
        fleet.run(Work * (1.0 / 3));
    }
    fleet.run(Work);
    for (int booking = 0; booking < 3; ++booking)
        fleet.send(0, "bookings.example", "POST", "/book", Patience);
    fleet.run({ 20 });
    fleet.configure(configurationOf(item.servers, 2));
    fleet.run({ 200 });
    const std::uint64_t search = fleet.send(0, "bookings.example", "GET", "/search", Patience);
    fleet.run(Patience + Second);
    return fleet.callers().at(search);
}

}

TEST_GROUP(SilentRequests){};

TEST(SilentRequests, AreLookedAtAgainUntilAnotherServerHasRoom)
{
    for (const Case& item : Cases) {
        const VirtualCaller search = runSearch(item);
        CHECK_TEXT(search.outcome == CallerOutcome::Answered, item.name);
        CHECK_TEXT(search.endedAt - search.sentAt <= AnsweredWithin, item.name);
    }
}
