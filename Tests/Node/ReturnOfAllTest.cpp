#include "Base/Random.h"
#include "Tests/Virtual/LineItemTranslator.h"
#include "Tests/Virtual/VirtualFleet.h"

#include <memory>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

/** All instances stop at once and start again, with a store whose stale reads lag behind. */
struct Case {
    const char* name;
    std::size_t instances;
    Milliseconds staleBehind; // age of the data in the store's stale reads
    Milliseconds changedBefore; // time from the last change of the configuration to the start
};

const std::vector<Case> Cases{
    { "reads are current", 18, { 0 }, { 100 } },
    { "stale reads, no recent change", 18, { 3000 }, { 5000 } },
    { "stale reads lack the last change", 18, { 3000 }, { 200 } },
    { "stale reads lack the last change, many instances", 120, { 3000 }, { 200 } },
};

constexpr std::size_t Servers = 20;
/** Time after its start within which an instance may still lack changes. */
constexpr Milliseconds MayBeBehind{ 3000 };
/** Store calls for one complete read. */
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

/** The start of a whole fleet, in which all instances are weak or all but a few. */
struct LinkCase {
    const char* name;
    std::size_t instances;
    std::size_t strong;
    Milliseconds readyWithin; // until all instances are ready
    std::size_t mostReadings; // read calls to the store
};

const std::vector<LinkCase> LinkCases{
    { "some are strong", 60, 3, { 600 }, 20 },
    { "none is strong", 60, 0, { 1100 }, 40 },
    { "few, and none is strong", 18, 0, { 800 }, 12 },
};

/** 120 Mbit/s for these fleets, in proportion to 1,000 Mbit/s for hundreds of instances; and 20 Mbit/s. */
constexpr double StoreBytesPerMillisecond = 15000;
constexpr double WeakBytesPerMillisecond = 2500;
constexpr std::size_t DocumentBytes = 300000;
constexpr Milliseconds LookInterval{ 20 };

/** A document of route lines, a fifth of each random. */
std::string documentOfRoutes()
{
    constexpr std::size_t randomBytes = 400;
    constexpr std::size_t sameBytes = 1600;
    constexpr std::size_t letters = 26;
    Random random(1);
    std::string text;
    while (text.size() < DocumentBytes) {
        text += "route host.example /";
        for (std::size_t index = 0; index < randomBytes; ++index)
            text += static_cast<char>('a' + random.below(letters));
        text += std::string(sameBytes, 'x') + "/\n";
    }
    return text;
}

bool allAreReady(VirtualFleet& fleet)
{
    for (std::size_t instance = 0; instance < fleet.size(); ++instance) {
        if (!fleet.node(instance).isReady())
            return false;
    }
    return true;
}

void playReturn(const LinkCase& item)
{
    VirtualFleet::Options options;
    options.instances = item.instances;
    options.strongInstances = item.strong;
    options.weakCapacity = 10;
    options.translator = std::make_shared<LineItemTranslator>();
    options.linkBytesPerMillisecond = WeakBytesPerMillisecond;
    options.store.linkBytesPerMillisecond = StoreBytesPerMillisecond;
    options.store.page = 500;
    VirtualFleet fleet(options);
    fleet.theStore().put(std::string(LineDocumentKey), documentOfRoutes());
    for (std::size_t server = 0; server < 40; ++server)
        fleet.theStore().put("server/s" + std::to_string(server), "ready");
    fleet.startAll();
    Milliseconds took;
    while (!allAreReady(fleet) && took < Milliseconds{ 10000 }) {
        fleet.run(LookInterval);
        took = took + LookInterval;
    }
    CHECK_TEXT(took <= item.readyWithin, item.name);
    CHECK_TEXT(fleet.theStore().callsOf(StoreOperation::ReadRange) <= item.mostReadings, item.name);
}

}

TEST_GROUP(ReturnOfAll){};

// Guards against a slow start of the whole fleet: the store's answers to all
// instances share one link, so a few instances must read it and send the data to
// the others.
TEST(ReturnOfAll, FewReadTheStoreAndTellTheOthers)
{
    for (const LinkCase& item : LinkCases)
        playReturn(item);
}

TEST(ReturnOfAll, EveryInstanceIsCurrentBeforeItMustBe)
{
    for (const Case& item : Cases)
        play(item);
}
