#include "Tests/Virtual/VirtualFleet.h"

#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

/** The store is unavailable for a while, to all instances or only to the watchers, and a change is written. */
struct Case {
    const char* name;
    std::size_t instances;
    StoreFault fault; // None: the store rejects the watchers only
    Milliseconds lasts;
    bool changesMeanwhile; // the change is written during the fault; otherwise right after it
    Milliseconds knownWithin; // until all instances have the change
    double mostCalls; // to the store, per instance on average
};

const std::vector<Case> Cases{
    { "down", 18, StoreFault::Down, { 8000 }, false, { 3000 }, 7 },
    { "down, many instances", 120, StoreFault::Down, { 8000 }, false, { 3000 }, 2.5 },
    { "silent, many instances", 120, StoreFault::Silent, { 8000 }, false, { 4000 }, 2.5 },
    { "the watchers are rejected", 18, StoreFault::None, { 8000 }, true, { 6000 }, 7 },
    { "the watchers are rejected, many instances", 120, StoreFault::None, { 8000 }, true, { 6000 }, 2.5 },
};

constexpr std::size_t Servers = 20;

bool allKnow(VirtualFleet& fleet, StoreRevision revision)
{
    for (std::size_t instance = 0; instance < fleet.size(); ++instance) {
        if (fleet.node(instance).storeRevision() < revision)
            return false;
    }
    return true;
}

void setFault(VirtualFleet& fleet, const Case& item, bool begins)
{
    if (item.fault != StoreFault::None)
        return fleet.theStore().setFault(begins ? item.fault : StoreFault::None);
    for (std::size_t instance = 0; instance < fleet.size(); ++instance) {
        if (!begins || fleet.node(instance).isWatching())
            fleet.theStore().setTurnedAway("entry-" + std::to_string(instance + 1), begins);
    }
}

void play(const Case& item)
{
    VirtualFleet::Options options;
    options.instances = item.instances;
    VirtualFleet fleet(options);
    for (std::size_t server = 0; server < Servers; ++server)
        fleet.addServer({ .id = "s" + std::to_string(server), .work = { 4 } });
    fleet.configure(virtualConfiguration(fleet.serverIds(), 1));
    fleet.startAll();
    fleet.run({ 12000 });
    const std::size_t before = fleet.theStore().calls();
    setFault(fleet, item, true);
    StoreRevision changed = 0;
    if (item.changesMeanwhile)
        changed = fleet.configure(virtualConfiguration(fleet.serverIds(), 2));
    else {
        fleet.run(item.lasts);
        setFault(fleet, item, false);
        changed = fleet.configure(virtualConfiguration(fleet.serverIds(), 2));
    }
    fleet.run(item.knownWithin);
    CHECK_TEXT(allKnow(fleet, changed), item.name);
    const auto calls = static_cast<double>(fleet.theStore().calls() - before);
    CHECK_TEXT(calls <= item.mostCalls * static_cast<double>(item.instances), item.name);
}

}

TEST_GROUP(StoreOutage){};

TEST(StoreOutage, FewAskWhileItLastsAndAllKnowSoonAfterwards)
{
    for (const Case& item : Cases)
        play(item);
}
