#include "Tests/Virtual/VirtualFleet.h"

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

TEST_GROUP(Leaving){};

// Instances 2 and 3 send nothing and probe nothing: they can know only from
// instance 1, whose request met the leaving backend server.
TEST(Leaving, AnInstanceThatMetNoSignHearsOfItFromAPeer)
{
    VirtualFleet::Options options;
    options.probes = false;
    options.backendServers = 1;
    VirtualFleet fleet(options);
    fleet.start();
    fleet.runUntil({ 4000 });
    fleet.backends[0]->leaving = true;
    CallerWork work;
    work.arrival.host = "bookings";
    work.arrival.method = "GET";
    work.arrival.path = "/";
    work.cost = { 5 };
    work.done = [](const RequestEnd&) {};
    fleet.request(0, work);
    fleet.runUntil({ 6000 });
    for (std::size_t node = 0; node < fleet.size(); ++node)
        STRCMP_EQUAL(
            "leaving", fleet.node(node).showLoad("bookings", fleet.time.now()).backend_servers(0).state().c_str());
    bool refused = false;
    work.done = [&](const RequestEnd& end) {
        refused = end.refusal.reason == RefusalReason::NoBackendServer && !end.answered;
    };
    fleet.request(1, work);
    fleet.runUntil({ 6100 });
    CHECK(refused);
    LONGS_EQUAL(1, fleet.sentTo[0].size());
}
