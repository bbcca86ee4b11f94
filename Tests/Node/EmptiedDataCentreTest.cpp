#include "Tests/Virtual/VirtualFleet.h"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr std::size_t Instances = 4;
constexpr std::size_t Servers = 6;
constexpr Milliseconds Patience{ 2000 };
constexpr Milliseconds Gap{ 10 };
/** Time for a gossip update to reach all instances, with the network round trip. */
constexpr Milliseconds NewsRound{ 60 };

/** An event just before a data centre is emptied. */
struct Case {
    const char* name;
    std::function<void(VirtualFleet&)> before;
    Milliseconds bound; // after it, no instance may send a request to the data centre
};

const std::vector<Case> Cases{
    { "nothing", [](VirtualFleet&) {}, NewsRound },
    { "the store rejects an instance", [](VirtualFleet& fleet) { fleet.theStore().setTurnedAway("entry-4", true); },
        NewsRound },
    { "an instance restarts",
        [](VirtualFleet& fleet) {
            fleet.kill(3);
            fleet.start(3);
        },
        NewsRound },
    { "an instance is cut off from the others", [](VirtualFleet& fleet) { fleet.cutFromPeers(3, true); }, { 3000 } },
    { "the store forgets its history", [](VirtualFleet& fleet) { fleet.theStore().forgetHistory(); }, NewsRound },
};

/** A fleet under load whose servers are placed in dc-1, dc-2 and dc-3 in turn. */
class LoadedFleet {
public:
    LoadedFleet()
        : fleet({ .instances = Instances })
    {
        for (std::size_t server = 0; server < Servers; ++server)
            this->fleet.addServer({ .id = "s" + std::to_string(server) });
        this->write({});
        this->fleet.startAll();
        this->load({ 1500 });
    }

    /** Writes a configuration in which just these data centres are emptied. */
    void write(const std::vector<std::string>& emptied)
    {
        v1::Configuration configuration = virtualConfiguration(this->fleet.serverIds(), ++this->revision);
        for (const std::string& dataCentre : emptied)
            configuration.add_emptied_data_centres(dataCentre);
        this->fleet.configure(configuration);
    }

    void load(Milliseconds span)
    {
        const Milliseconds end = this->fleet.now() + span;
        while (this->fleet.now() < end) {
            const std::size_t number = this->turn++;
            this->fleet.send(number % Instances, "bookings.example", number % 2 ? "POST" : "GET", "/a", Patience);
            this->fleet.run(Gap);
        }
    }

    /** Number of attempts after this time at the servers of dc-2, which are s1 and s4. */
    std::size_t sentThereAfter(Milliseconds from) const
    {
        const auto& sent = this->fleet.sentAttempts();
        return static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(), [&](const SentAttempt& attempt) {
            const bool isThere = attempt.backendServer.find("/s1@") != std::string::npos
                || attempt.backendServer.find("/s4@") != std::string::npos;
            return isThere && attempt.at > from;
        }));
    }

    std::size_t ended(CallerOutcome outcome) const
    {
        const auto& callers = this->fleet.callers();
        return static_cast<std::size_t>(std::count_if(
            callers.begin(), callers.end(), [&](const auto& item) { return item.second.outcome == outcome; }));
    }

    VirtualFleet fleet;

private:
    std::uint32_t revision = 0;
    std::size_t turn = 0;
};

}

TEST_GROUP(EmptiedDataCentre){};

TEST(EmptiedDataCentre, GetsNothingWithinARoundOfNewsUntilItIsTakenBack)
{
    for (const Case& item : Cases) {
        LoadedFleet loaded;
        CHECK_TEXT(loaded.sentThereAfter({ 0 }) > 0, item.name);
        item.before(loaded.fleet);
        loaded.write({ "dc-2" });
        const Milliseconds emptiedAt = loaded.fleet.now();
        loaded.load({ 4000 });
        LONGS_EQUAL_TEXT(0, loaded.sentThereAfter(emptiedAt + item.bound), item.name);
        const Milliseconds backAt = loaded.fleet.now();
        loaded.write({});
        loaded.load({ 4000 });
        CHECK_TEXT(loaded.sentThereAfter(backAt) > 0, item.name);
    }
}

TEST(EmptiedDataCentre, WhatIsUnderWayThereEndsAsUsual)
{
    LoadedFleet loaded;
    // Requests that arrived before the first read of the store were refused.
    const std::size_t refusedBefore = loaded.ended(CallerOutcome::NotRun);
    loaded.write({ "dc-2" });
    loaded.load({ 500 });
    loaded.fleet.run(Patience);
    LONGS_EQUAL(loaded.fleet.callers().size(), refusedBefore + loaded.ended(CallerOutcome::Answered));
}

TEST(EmptiedDataCentre, AServiceOfWhichAllStandThereRefusesAtOnce)
{
    LoadedFleet loaded;
    loaded.write({ "dc-1", "dc-2", "dc-3" });
    loaded.fleet.run({ 500 });
    const std::size_t before = loaded.fleet.sentAttempts().size();
    for (std::size_t instance = 0; instance < Instances; ++instance) {
        const auto caller = loaded.fleet.send(instance, "bookings.example", "POST", "/a", Patience);
        loaded.fleet.run({ 2 });
        CHECK(loaded.fleet.callers().at(caller).outcome == CallerOutcome::NotRun);
        LONGS_EQUAL(1, loaded.fleet.node(instance).counters().value(RefusalReason::DataCentreEmptied));
    }
    LONGS_EQUAL(before, loaded.fleet.sentAttempts().size());
}
