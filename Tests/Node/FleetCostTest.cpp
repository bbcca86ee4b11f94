#include "Tests/Virtual/VirtualFleet.h"

#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr std::size_t Servers = 40;
constexpr Milliseconds Settling{ 8000 };
constexpr double MeasuredSeconds = 10;
constexpr Milliseconds Step{ 1 };

/** Upper bounds on the traffic by which an idle fleet distributes the store's contents. */
struct Case {
    const char* name;
    std::size_t instances;
    double bytes; // per instance and second, without framing
    double busiest; // messages per second of the instance that sends the most
    double storeCalls; // per second, of all instances together
    Milliseconds spread; // until a change is in force on all instances
};

const std::vector<Case> Cases{
    { "eighteen", 18, 900, 50, 3.5, { 20 } },
    { "a hundred and forty-two", 142, 1000, 50, 3.5, { 20 } },
};

bool haveAll(VirtualFleet& fleet, StoreRevision revision)
{
    for (std::size_t instance = 0; instance < fleet.size(); ++instance) {
        if (fleet.node(instance).storeRevision() < revision)
            return false;
    }
    return true;
}

}

TEST_GROUP(FleetCost){};

TEST(FleetCost, ACalmFleetTellsItselfOfTheStoreWithinItsBounds)
{
    for (const Case& item : Cases) {
        VirtualFleet fleet({ .instances = item.instances });
        for (std::size_t server = 0; server < Servers; ++server)
            fleet.addServer({ .id = "s" + std::to_string(server) });
        fleet.configure(virtualConfiguration(fleet.serverIds(), 1));
        fleet.startAll();
        fleet.run(Settling);
        const std::size_t bytes = fleet.peerBytes();
        const std::size_t calls = fleet.theStore().calls();
        fleet.resetMessagesOf();
        fleet.run(Second * MeasuredSeconds);
        const double perInstance = static_cast<double>(item.instances) * MeasuredSeconds;
        CHECK_TEXT(static_cast<double>(fleet.peerBytes() - bytes) <= item.bytes * perInstance, item.name);
        CHECK_TEXT(static_cast<double>(fleet.mostMessagesOfOne()) <= item.busiest * MeasuredSeconds, item.name);
        const auto storeCalls = static_cast<double>(fleet.theStore().calls() - calls);
        CHECK_TEXT(storeCalls <= item.storeCalls * MeasuredSeconds, item.name);
        const StoreRevision written = fleet.configure(virtualConfiguration(fleet.serverIds(), 2));
        const Milliseconds begun = fleet.now();
        while (!haveAll(fleet, written) && fleet.now() - begun < item.spread)
            fleet.run(Step);
        CHECK_TEXT(haveAll(fleet, written), item.name);
    }
}
