#include "Membership/PullScheduler.h"

#include <string>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

peers::Member origin(const std::string& name, std::uint32_t capacity = 0)
{
    peers::Member made;
    made.mutable_incarnation()->set_name(name);
    made.set_capacity(capacity);
    return made;
}

}

TEST_GROUP(PullScheduler){};

// A busy instance that gets repeated pulls sends everything each time. This brought a fleet of 142 instances with 327
// backend servers to a standstill.
TEST(PullScheduler, PullsOnceHoweverManyUpdatesNameTheRevision)
{
    PullScheduler plan({});
    int asked = 0;
    for (double at = 0; at < 1000; at += 10) {
        plan.recordMissingChanges(origin("a"), 20, true, { at });
        asked += plan.next({ at }) ? 1 : 0;
    }
    LONGS_EQUAL(1, asked);
    CHECK_TEXT(plan.next({ 1000 }).has_value(), "the pull timed out");
    plan.recordAnswer();
    CHECK_TEXT(plan.next({ 1010 }).has_value(), "the answer did not bring the revision");
}

TEST(PullScheduler, PullsFromTheOriginOfTheLatestRevision)
{
    PullScheduler plan({});
    plan.recordMissingChanges(origin("a"), 20, true, { 0 });
    plan.recordMissingChanges(origin("b"), 21, true, { 0 });
    plan.recordMissingChanges(origin("c"), 19, true, { 0 });
    STRCMP_EQUAL("b", plan.next({ 0 })->incarnation().name().c_str());
}

// Guards against a fleet that asks one weak instance: it happened to have sent the latest update, and needed 13 s to
// answer all.
TEST(PullScheduler, PullsFromTheStrongestOriginThatHasMissingChanges)
{
    PullScheduler plan({});
    plan.recordMissingChanges(origin("strong", 50), 20, true, { 0 });
    plan.recordMissingChanges(origin("weak", 10), 21, true, { 0 });
    STRCMP_EQUAL("strong", plan.next({ 0 })->incarnation().name().c_str());
    CHECK_FALSE_TEXT(plan.next({ 999 }).has_value(), "the pull is under way");
    STRCMP_EQUAL_TEXT("weak", plan.next({ 1000 })->incarnation().name().c_str(), "the first did not answer");
    STRCMP_EQUAL("strong", plan.next({ 2000 })->incarnation().name().c_str());
    plan.recordReachedRevision(20);
    STRCMP_EQUAL_TEXT("weak", plan.next({ 3000 })->incarnation().name().c_str(), "only this one has more");
}

TEST(PullScheduler, WaitsForTheLeadersUpdateAfterOneWithoutChanges)
{
    PullScheduler plan({});
    plan.recordMissingChanges(origin("a"), 20, false, { 100 });
    CHECK_FALSE(plan.next({ 100 }).has_value());
    LONGS_EQUAL(300, static_cast<long>(plan.nextDue().count));
    CHECK(plan.next({ 300 }).has_value());
}

TEST(PullScheduler, DoesNotPullWhatArrivesMeanwhile)
{
    PullScheduler plan({});
    plan.recordMissingChanges(origin("a"), 20, false, { 100 });
    plan.recordReachedRevision(19);
    CHECK(plan.nextDue() < Never);
    plan.recordReachedRevision(20);
    CHECK(plan.nextDue() == Never);
    CHECK_FALSE(plan.next({ 400 }).has_value());
}

TEST(PullScheduler, WaitsOnceForAnAnnouncedPush)
{
    PullScheduler plan({});
    // More updates announce pushes while the first push is under way.
    for (double at = 100; at < 1000; at += 100) {
        const auto revision = static_cast<std::uint64_t>(at);
        plan.recordAnnouncedPush(revision, { at });
        plan.recordMissingChanges(origin("a"), revision, true, { at });
        CHECK_FALSE(plan.next({ at }).has_value());
    }
    LONGS_EQUAL(1000, static_cast<long>(plan.nextDue().count));
    CHECK(plan.next({ 1000 }).has_value());
}

TEST(PullScheduler, PullsAtOnceAfterAPushThatDidNotBringTheRevision)
{
    PullScheduler plan({});
    plan.recordAnnouncedPush(20, { 100 });
    plan.recordMissingChanges(origin("a"), 20, true, { 100 });
    plan.recordReceivedPush(20, 10, { 110 });
    CHECK(plan.next({ 110 }).has_value());
}

// Guards against pulls of a whole fleet for changes that are on their way: while the directory grows, each update
// announces a push and overtakes the one before, and every push that came made its receiver ask for the next.
TEST(PullScheduler, WaitsForEachAnnouncedPush)
{
    PullScheduler plan({});
    plan.recordAnnouncedPush(20, { 100 });
    plan.recordMissingChanges(origin("a"), 20, true, { 100 });
    plan.recordAnnouncedPush(21, { 250 });
    plan.recordMissingChanges(origin("a"), 21, true, { 250 });
    plan.recordReceivedPush(20, 20, { 300 });
    plan.recordReachedRevision(20);
    CHECK_FALSE(plan.next({ 300 }).has_value());
    LONGS_EQUAL_TEXT(1200, static_cast<long>(plan.nextDue().count), "900 ms after the last sign of pushes");
    plan.recordReceivedPush(21, 21, { 400 });
    plan.recordReachedRevision(21);
    CHECK(plan.nextDue() == Never);
}

TEST(PullScheduler, PullsAtOnceWhenChangesBeforeAPushAreMissing)
{
    PullScheduler plan({});
    plan.recordAnnouncedPush(20, { 100 });
    plan.recordMissingChanges(origin("a"), 20, true, { 100 });
    plan.recordAnnouncedPush(21, { 250 });
    plan.recordMissingChanges(origin("a"), 21, true, { 250 });
    plan.recordReceivedPush(20, 18, { 260 });
    CHECK(plan.next({ 260 }).has_value());
}

// Guards against pulls at each push of a growing directory: a watcher that does not lead had named a later revision
// more than 200 ms before, and the push that came did not reach the revision that it named last.
TEST(PullScheduler, EachMissingRevisionIsDueAtItsOwnTime)
{
    PullScheduler plan({});
    for (std::uint64_t revision = 20; revision < 40; ++revision) {
        const Milliseconds now{ static_cast<double>(revision) * 100 };
        plan.recordMissingChanges(origin("other"), revision + 1, false, now);
        plan.recordReachedRevision(revision);
        CHECK_FALSE(plan.next(now).has_value());
        CHECK(plan.nextDue() <= now + Milliseconds{ 200 });
    }
    CHECK_TEXT(plan.next({ 4100 }).has_value(), "the last one did not come");
}
