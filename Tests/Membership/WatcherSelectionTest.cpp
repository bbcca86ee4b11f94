#include "Membership/WatcherSelection.h"

#include "Base/Random.h"

#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr std::size_t Instances = 100;

peers::Member member(const std::string& name, std::uint64_t life = 1)
{
    peers::Member made;
    made.mutable_incarnation()->set_name(name);
    made.mutable_incarnation()->set_number(life);
    return made;
}

constexpr Milliseconds Fresh{ 10000 };

/** An instance that received updates of other watchers, usually 100 ms ago. */
struct Case {
    const char* name;
    int others; // number of other watchers
    Milliseconds othersConfirmedAt; // their last answer of the store
    bool isWatching;
    Milliseconds confirmedAt; // when this instance's knowledge was last confirmed
    bool watches; // the expected result
    Milliseconds othersUpdatedAt{ 9900 }; // when their updates were received
};

const std::vector<Case> Cases{
    { "enough others watch", 3, { 9900 }, false, { 9800 }, false },
    { "updates of the others come, but earlier changes have been missing for longer than a pull takes", 3, { 9900 },
        false, { 7600 }, true },
    { "the same, not for long", 3, { 9900 }, false, { 8001 }, false },
    { "the same, and this instance watches already", 3, { 9900 }, true, { 8001 }, true },
    { "the updates of the others stopped", 3, { 8100 }, false, { 8100 }, true, { 8100 } },
    { "the store does not answer the others", 3, { 8000 }, false, { 8000 }, false },
    { "the store does not answer the others, and this is one of the few watchers", 2, { 8000 }, true, { 8000 }, true },
    { "there have only just been no watchers", 0, { 9900 }, false, { 9800 }, false },
    { "one of too few watchers", 2, { 9900 }, true, { 9800 }, true },
    { "there never was any knowledge", 0, { 9900 }, false, LongAgo, true },
};

}

TEST_GROUP(WatcherSelection){};

TEST(WatcherSelection, FollowsTheUpdatesOfOthers)
{
    for (const Case& item : Cases) {
        WatcherSelection duty({ .ownName = "entry-1" });
        for (int other = 0; other < item.others; ++other)
            duty.recordWatcherMessage(
                member("other-" + std::to_string(other)), item.othersConfirmedAt, item.othersUpdatedAt);
        CHECK_TEXT(duty.shouldWatch(item.isWatching, item.confirmedAt, Instances, Fresh) == item.watches, item.name);
    }
}

TEST(WatcherSelection, VolunteersAfterADelayThatDependsOnItsName)
{
    WatcherSelection duty({ .ownName = "entry-1" });
    CHECK_FALSE(duty.shouldWatch(false, { 9900 }, Instances, Fresh));
    const Milliseconds due = duty.nextChange({ 1e9 });
    CHECK(due >= Fresh);
    CHECK_FALSE(duty.shouldWatch(false, due - Milliseconds{ 1 }, Instances, due - Milliseconds{ 1 }));
    CHECK_TEXT(duty.shouldWatch(false, due, Instances, due), "exactly at the time that nextChange() returned");
}

TEST(WatcherSelection, KnowledgeIsStaleExactlyAtTheTimeOfNextChange)
{
    // The difference of two times may round below the bound that their sum reached.
    for (double confirmed = 1234.567; confirmed < 1300; confirmed += 0.7131) {
        WatcherSelection duty({ .ownName = "entry-7" });
        for (int other = 0; other < 3; ++other)
            duty.recordWatcherMessage(member("other-" + std::to_string(other)), { confirmed }, { confirmed });
        CHECK_FALSE(duty.shouldWatch(false, { confirmed }, Instances, { confirmed }));
        const Milliseconds due = duty.nextChange({ confirmed });
        CHECK(duty.shouldWatch(false, { confirmed }, Instances, due));
    }
}

// If the store refuses only the watchers, other instances must find out that it serves them, a few calling at a time.
TEST(WatcherSelection, EachInstanceAsksInItsTurnWhileTheWatchersGetNoAnswers)
{
    constexpr int fleet = 200;
    constexpr double spanMilliseconds = 20000;
    constexpr double firstSecond = 11000;
    int turns = 0;
    int firstTurns = 0;
    for (int instance = 0; instance < fleet; ++instance) {
        WatcherSelection duty({ .ownName = "entry-" + std::to_string(instance) });
        bool isWatching = false;
        for (double now = 10000; now < 10000 + spanMilliseconds; now += 100) {
            for (int other = 0; other < 3; ++other)
                duty.recordWatcherMessage(member("other-" + std::to_string(other)), { 5000 }, { now });
            const bool watches = duty.shouldWatch(isWatching, { 5000 }, fleet, { now });
            turns += watches && !isWatching ? 1 : 0;
            firstTurns += watches && !isWatching && now < firstSecond ? 1 : 0;
            isWatching = watches;
        }
    }
    CHECK_TEXT(firstTurns >= 3 && firstTurns <= 30, "about ten a second, from the first second on");
    CHECK_TEXT(turns >= fleet * 0.9 && turns <= fleet * 1.2, "each instance once in twenty seconds");
}

// With a time that is not in the future, the caller would evaluate shouldWatch() in an endless loop.
TEST(WatcherSelection, NextChangeIsInTheFutureForAnInstanceThatDoesNotWatch)
{
    Random random(7);
    for (int run = 0; run < 200; ++run) {
        WatcherSelection duty({ .ownName = "entry-" + std::to_string(run) });
        const auto others = static_cast<int>(random.below(4));
        Milliseconds confirmedAt{ 10000 };
        bool isWatching = false;
        for (Milliseconds now{ 10000 }; now < Milliseconds{ 20000 }; now = now + Milliseconds{ 250 * random.unit() }) {
            for (int other = 0; other < others; ++other) {
                const Milliseconds told = now - Milliseconds{ 4000 * random.unit() };
                if (random.below(3) == 0)
                    duty.recordWatcherMessage(member("other-" + std::to_string(other)), told, now);
            }
            if (random.below(20) == 0)
                confirmedAt = now;
            isWatching = duty.shouldWatch(isWatching, confirmedAt, Instances, now);
            if (isWatching && random.below(2) == 0)
                duty.recordFailedCall();
            isWatching = duty.shouldWatch(isWatching, confirmedAt, Instances, now);
            CHECK(isWatching || duty.nextChange(confirmedAt) > now);
        }
    }
}

TEST(WatcherSelection, OnlyTheLowestRanksStayWhenThereAreTooManyWatchers)
{
    const std::vector<std::string> names{ "entry-0", "entry-1", "entry-2", "entry-3", "entry-4", "entry-5", "entry-6" };
    int staying = 0;
    for (const std::string& name : names) {
        WatcherSelection duty({ .ownName = name });
        for (const std::string& other : names)
            duty.recordWatcherMessage(member(other), { 9950 }, { 9950 });
        staying += duty.shouldWatch(true, { 9950 }, Instances, Fresh) ? 1 : 0;
    }
    LONGS_EQUAL(3, staying);
}

TEST(WatcherSelection, NamesToOthersOnlyWatchersThatSentUpdatesThemselves)
{
    WatcherSelection duty({ .ownName = "entry-1" });
    duty.recordWatcherMessage(member("reporting"), { 900 }, { 1000 });
    duty.recordNamedWatcher(member("named"), { 1000 });
    LONGS_EQUAL_TEXT(2, duty.watchers({ 1000 }).size(), "both may send updates");
    LONGS_EQUAL(1, duty.reportingWatchers({ 1000 }).size());
    // Other instances still name the watcher, but it sends no updates itself.
    duty.recordNamedWatcher(member("reporting"), { 5000 });
    CHECK(duty.reportingWatchers({ 5000 }).empty());
}

TEST(WatcherSelection, AnInstanceWithMoreCapacityReplacesWatchersWithLess)
{
    const auto weak = [](int number) {
        peers::Member made = member("other-" + std::to_string(number));
        made.set_capacity(10);
        return made;
    };
    WatcherSelection strong({ .ownName = "entry-1", .ownCapacity = 50 });
    WatcherSelection alike({ .ownName = "entry-1", .ownCapacity = 10 });
    for (int other = 0; other < 3; ++other) {
        strong.recordWatcherMessage(weak(other), { 9900 }, { 9900 });
        alike.recordWatcherMessage(weak(other), { 9900 }, { 9900 });
    }
    strong.shouldWatch(false, { 9900 }, Instances, Fresh);
    alike.shouldWatch(false, { 9900 }, Instances, Fresh);
    CHECK_TEXT(strong.nextChange({ 1e9 }) < Milliseconds{ 1e6 }, "it volunteers");
    CHECK_TEXT(alike.nextChange({ 1e9 }) > Milliseconds{ 1e6 }, "there are enough watchers with the same capacity");
    CHECK_TEXT(strong.isLeader(Fresh), "it has the lowest rank");
}

TEST(WatcherSelection, SendsHellosToTheWantedNumberOfWatchersOnly)
{
    // While updates do not arrive, every instance watches.
    WatcherSelection duty({ .ownName = "entry-1" });
    for (int other = 0; other < 40; ++other)
        duty.recordWatcherMessage(member("other-" + std::to_string(other)), { 9900 }, { 9900 });
    LONGS_EQUAL(3, duty.watchers(Fresh).size());
    LONGS_EQUAL(3, duty.reportingWatchers(Fresh).size());
}

TEST(WatcherSelection, WatchersWithoutRecentUpdatesDoNotCount)
{
    WatcherSelection duty({ .ownName = "entry-1" });
    for (int other = 0; other < 3; ++other)
        duty.recordWatcherMessage(member("other-" + std::to_string(other)), { 5000 }, { 5000 });
    LONGS_EQUAL(3, duty.watchers({ 5100 }).size());
    CHECK(duty.watchers(Fresh).empty());
    duty.shouldWatch(false, Fresh, Instances, Fresh);
    CHECK(duty.nextChange({ 1e9 }) < Milliseconds{ 1e6 });
}
