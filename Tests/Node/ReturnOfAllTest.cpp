#include "Tests/Virtual/VirtualFleet.h"

#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

/** All instances end at once and begin again, with a store that tells old things to whoever does not mind. */
struct Case {
    const char* name;
    std::size_t instances;
    Milliseconds staleBehind;
    Milliseconds changedBefore; // the last change of the configuration, before all begin again
};

const std::vector<Case> Cases{
    { "a store that is current", 18, { 0 }, { 100 } },
    { "nothing changed lately", 18, { 3000 }, { 5000 } },
    { "the change is not in what the store tells first", 18, { 3000 }, { 200 } },
    { "the same with many", 120, { 3000 }, { 200 } },
};

constexpr std::size_t Servers = 20;
/** In which an instance that has just begun need not know yet. */
constexpr Milliseconds MayBeBehind{ 3000 };
/** A whole reading takes two pages. */
constexpr std::size_t PagesOfAReading = 2;

std::size_t callsAtFullPrice(VirtualFleet& fleet)
{
    return fleet.theStore().calls() - fleet.theStore().staleReadings();
}

void play(const Case& item)
{
    VirtualFleet::Options options;
    options.instances = item.instances;
    options.store.staleBehind = item.staleBehind;
    VirtualFleet fleet(options);
    for (std::size_t server = 0; server < Servers; ++server)
        fleet.addServer({ .id = "s" + std::to_string(server), .work = { 4 } });
    fleet.configure(virtualConfiguration(fleet.serverIds(), 1));
    fleet.startAll();
    fleet.run({ 8000 });
    const StoreRevision last = fleet.configure(virtualConfiguration(fleet.serverIds(), 2));
    for (std::size_t instance = 0; instance < fleet.size(); ++instance)
        fleet.kill(instance);
    fleet.run(item.changedBefore);
    const std::size_t before = callsAtFullPrice(fleet);
    fleet.startAll();
    fleet.run(MayBeBehind);
    for (std::size_t instance = 0; instance < fleet.size(); ++instance) {
        CHECK_TEXT(fleet.node(instance).isReady(), item.name);
        CHECK_TEXT(fleet.node(instance).storeRevision() >= last, item.name);
    }
    const std::size_t fullPrice = callsAtFullPrice(fleet) - before;
    CHECK_TEXT(fullPrice <= item.instances * PagesOfAReading, item.name);
}

}

TEST_GROUP(ReturnOfAll){};

TEST(ReturnOfAll, EveryInstanceIsCurrentBeforeItMustBe)
{
    for (const Case& item : Cases)
        play(item);
}
