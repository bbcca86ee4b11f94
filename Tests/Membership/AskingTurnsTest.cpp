// Seen: a request was refused with 404 by an instance that did not know a
// version which the store had acknowledged more than 2 s before. How it came
// about: the store turned away just the three instances that watched it, and
// served the ten others. These left it to the watchers, which said that they
// still asked, each until its turn; the first asked 2.3 s after the last word.
// Cause: the turns followed from the same hash as the rank, so that the first
// turns of all belonged to the watchers, which are the lowest in rank.

#include "Base/Random.h"
#include "Membership/WatchDuty.h"

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
/** Of fleets, in which nobody may have asked in time: the turns are drawn. */
constexpr double MostLate = 0.02;
/** A change is in force within 2 s; from the first that asks it takes this to all others. */
constexpr Milliseconds InForceWithin{ 2000 };
constexpr Milliseconds OnItsWay{ 100 };
constexpr Milliseconds Step{ 10 };
/** Watchers in vain say so this often. */
constexpr Milliseconds StillAsking{ 1300 };

peers::Member member(const std::string& name)
{
    peers::Member made;
    made.mutable_incarnation()->set_name(name);
    made.mutable_incarnation()->set_number(1);
    made.set_capacity(20);
    return made;
}

/** All instances of a fleet as one of them sees it, and who watches in it: the lowest in rank. */
struct Fleet {
    std::vector<std::string> names;
    std::vector<std::string> watchers;
};

Fleet draw(std::size_t instances, Random& random)
{
    Fleet fleet;
    for (std::size_t instance = 0; instance < instances; ++instance)
        fleet.names.push_back("entry-" + std::to_string(random.below(1000000)));
    // An instance names those that go before all others that it has heard, the best first.
    WatchDuty onlooker({ .ownName = "onlooker", .wanted = Watchers });
    for (const std::string& name : fleet.names)
        onlooker.heardWatcher(member(name), { 0 }, { 0 });
    for (const peers::Member& watcher : onlooker.watchers({ 0 }))
        fleet.watchers.push_back(watcher.incarnation().name());
    return fleet;
}

/** From the last word of the store until the first of the others asks it. */
Milliseconds firstAskedAfter(const Fleet& fleet)
{
    std::vector<WatchDuty> others;
    for (const std::string& name : fleet.names) {
        if (std::find(fleet.watchers.begin(), fleet.watchers.end(), name) == fleet.watchers.end())
            others.emplace_back(WatchDuty::Options{ .ownName = name, .ownCapacity = 20, .wanted = Watchers });
    }
    for (Milliseconds now{ 0 };; now = now + Step) {
        for (WatchDuty& other : others) {
            const bool isTelling = std::fmod(now.count, StillAsking.count) < Step.count;
            for (const std::string& watcher : fleet.watchers) {
                if (isTelling)
                    other.heardWatcher(member(watcher), { 0 }, now);
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
        late += firstAskedAfter(draw(instances, random)) > InForceWithin - OnItsWay ? 1 : 0;
    return static_cast<double>(late) / Fleets;
}

}

TEST_GROUP(AskingTurns){};

TEST(AskingTurns, WhereOnlyTheWatchersAreTurnedAwaySomebodyElseAsksInTime)
{
    for (const std::size_t instances : { 13, 17, 18, 40, 95, 473 })
        CHECK_TEXT(lateShare(instances) <= MostLate, (std::to_string(instances) + " instances").c_str());
}
