// Guards against an instance that refuses a request with 404 because it lacks a configuration that the store
// acknowledged more than 2 s earlier. This happened when the store refused only the three watchers and served the ten
// other instances. Those waited for their turns to call the store, as the watchers still reported to be calling it, and
// the first turn came 2.3 s after the store's last answer. The turns used the hash of the rank, so the first turns
// belonged to the watchers themselves, which have the lowest ranks.

#include "Base/Random.h"
#include "Membership/WatcherSelection.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr std::size_t Watchers = 3;
constexpr int Fleets = 300;
/** The highest share of fleets in which no instance calls the store in time: turns depend on names drawn at random. */
constexpr double MaximumLateShare = 0.02;
/** A change must be in force within this time. */
constexpr Milliseconds InForceWithin{ 2000 };
/** The time that a change takes from the first instance that calls the store to all others. */
constexpr Milliseconds PropagationTime{ 100 };
constexpr Milliseconds Step{ 10 };
/** How often watchers without answers of the store send an update. */
constexpr Milliseconds UpdateInterval{ 1300 };

peers::Member member(const std::string& name)
{
    peers::Member made;
    made.mutable_incarnation()->set_name(name);
    made.mutable_incarnation()->set_number(1);
    made.set_capacity(20);
    return made;
}

/** The names of all instances of a fleet, and of its watchers, which have the lowest ranks. */
struct Fleet {
    std::vector<std::string> names;
    std::vector<std::string> watchers;
};

Fleet draw(std::size_t instances, Random& random)
{
    Fleet fleet;
    for (std::size_t instance = 0; instance < instances; ++instance)
        fleet.names.push_back("entry-" + std::to_string(random.below(1000000)));
    // WatcherSelection::watchers() returns those of the lowest rank.
    WatcherSelection onlooker({ .ownName = "onlooker", .wantedWatchers = Watchers });
    for (const std::string& name : fleet.names)
        onlooker.recordWatcherMessage(member(name), { 0 }, { 0 });
    for (const peers::Member& watcher : onlooker.watchers({ 0 }))
        fleet.watchers.push_back(watcher.incarnation().name());
    return fleet;
}

/** The time from the store's last answer until the first instance other than the watchers calls it. */
Milliseconds firstAskedAfter(const Fleet& fleet)
{
    std::vector<WatcherSelection> others;
    for (const std::string& name : fleet.names) {
        if (std::find(fleet.watchers.begin(), fleet.watchers.end(), name) == fleet.watchers.end())
            others.emplace_back(
                WatcherSelection::Options{ .ownName = name, .ownCapacity = 20, .wantedWatchers = Watchers });
    }
    for (Milliseconds now{ 0 };; now = now + Step) {
        for (WatcherSelection& other : others) {
            const bool isTelling = std::fmod(now.count, UpdateInterval.count) < Step.count;
            for (const std::string& watcher : fleet.watchers) {
                if (isTelling)
                    other.recordWatcherMessage(member(watcher), { 0 }, now);
            }
            if (other.shouldWatch(false, { 0 }, fleet.names.size(), now))
                return now;
        }
    }
}

double lateShare(std::size_t instances)
{
    Random random(instances);
    int late = 0;
    for (int count = 0; count < Fleets; ++count)
        late += firstAskedAfter(draw(instances, random)) > InForceWithin - PropagationTime ? 1 : 0;
    return static_cast<double>(late) / Fleets;
}

}

TEST_GROUP(AskingTurns){};

TEST(AskingTurns, AnotherInstanceAsksInTimeWhenOnlyTheWatchersAreRefused)
{
    for (const std::size_t instances : { 13, 17, 18, 40, 95, 473 })
        CHECK_TEXT(lateShare(instances) <= MaximumLateShare, (std::to_string(instances) + " instances").c_str());
}
