#include "Store/StoreReader.h"

#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

StoreItem item(const char* key, StoreRevision revision)
{
    return { .key = key, .value = "v", .revision = revision, .removed = false };
}

}

TEST_GROUP(StoreReader)
{
    StoreView view;
    StoreCallNumbers numbers;
    Random random{ 3 };
    StoreReader reader{ { .prefix = "p/" }, this->view, this->numbers, this->random };

    StoreUpdate answer(const StoreRequest& request, StoreStatus status, std::vector<StoreItem> items, StoreRevision at,
        bool more, Milliseconds now)
    {
        StoreAnswer given;
        given.number = request.number;
        given.status = status;
        given.items = std::move(items);
        given.at = at;
        given.more = more;
        return this->reader.answered(given, now);
    }

    /** Reads everything at revision 7, so that the next call is a watch. */
    void readAll(Milliseconds now)
    {
        const auto request = this->reader.next(now, true);
        this->answer(*request, StoreStatus::Done, { item("p/a", 3) }, 7, false, now);
    }
};

namespace {

/** A reading of two pages and the revisions that they show. */
struct PagesCase {
    const char* name;
    bool isFirst; // the view was empty before
    StoreRevision firstAt;
    StoreRevision secondAt;
    StoreRevision complete; // up to which the view is expected to be complete
};

const std::vector<PagesCase> PagesCases{
    { "a later page may show a later revision", true, 7, 9, 7 },
    { "a later page may show an earlier revision", true, 9, 7, 7 },
    { "everything is read again after the history was lost", false, 17, 19, 17 },
};

}

TEST(StoreReader, ReadsAllPagesAndIsCompleteUpToTheEarliestRevision)
{
    for (const PagesCase& item : PagesCases) {
        StoreView ownView;
        this->reader = StoreReader({ .prefix = "p/" }, ownView, this->numbers, this->random);
        if (!item.isFirst) {
            this->readAll({ 0 });
            this->answer(*this->reader.next({ 0 }, true), StoreStatus::HistoryLost, {}, 0, false, { 0 });
        }
        const auto first = this->reader.next({ 0 }, false);
        CHECK(first && first->operation == StoreOperation::ReadRange);
        CHECK_EQUAL_TEXT(item.isFirst, first->mayBeStale, item.name);
        CHECK_FALSE_TEXT(this->reader.next({ 1 }, false).has_value(), "one call at a time");
        const StoreUpdate halfway
            = this->answer(*first, StoreStatus::Done, { ::item("p/a", 3) }, item.firstAt, true, { 4 });
        CHECK_FALSE(halfway.isConfirmed || halfway.isStaleReading);
        const auto second = this->reader.next({ 4 }, false);
        STRCMP_EQUAL("p/a", second->afterKey.c_str());
        CHECK_EQUAL_TEXT(item.isFirst, second->mayBeStale, item.name);
        const StoreUpdate whole
            = this->answer(*second, StoreStatus::Done, { ::item("p/b", 5) }, item.secondAt, false, { 8 });
        CHECK_EQUAL_TEXT(!item.isFirst, whole.isConfirmed, item.name);
        CHECK_EQUAL_TEXT(item.isFirst, whole.isStaleReading, item.name);
        CHECK(!whole.changes.empty());
        LONGS_EQUAL_TEXT(item.complete, ownView.revision(), item.name);
        DOUBLES_EQUAL_TEXT(0, whole.confirmedAt.count, 0.01, "the view was complete when the first page was requested");
        CHECK_FALSE_TEXT(
            this->reader.next({ 9 }, false).has_value(), "there is no further call unless it should watch");
    }
}

TEST(StoreReader, StopsItsFirstReadingWhenAnotherInstanceSentEverything)
{
    const auto first = this->reader.next({ 0 }, true);
    this->answer(*first, StoreStatus::Done, { item("p/a", 3) }, 7, true, { 4 });
    const std::vector<StoreItem> told{ item("p/a", 3), item("p/b", 5) };
    this->view.replaceAll(told, 8);
    const auto next = this->reader.next({ 5 }, true);
    CHECK(next && next->operation == StoreOperation::Watch);
    LONGS_EQUAL(8, next->after);
}

TEST(StoreReader, WaitsLongerForAReadingAfterATimeout)
{
    const auto first = this->reader.next({ 0 }, true);
    this->answer(*first, StoreStatus::Unknown, {}, 0, false, first->timeout);
    const auto second = this->reader.next(this->reader.nextAt(), true);
    DOUBLES_EQUAL(2 * first->timeout.count, second->timeout.count, 0.01);
    this->answer(*second, StoreStatus::Unknown, {}, 0, false, { 5000 });
    const auto third = this->reader.next(this->reader.nextAt(), true);
    DOUBLES_EQUAL_TEXT(second->timeout.count, third->timeout.count, 0.01, "the timeout has a maximum");
    this->answer(*third, StoreStatus::Done, { item("p/a", 3) }, 7, true, { 9000 });
    DOUBLES_EQUAL(first->timeout.count, this->reader.next({ 9000 }, true)->timeout.count, 0.01);
}

TEST(StoreReader, WatchesFromItsRevisionAndConfirmsTheViewWithoutChanges)
{
    this->readAll({ 0 });
    const auto watch = this->reader.next({ 1 }, true);
    CHECK(watch && watch->operation == StoreOperation::Watch);
    LONGS_EQUAL(7, watch->after);
    const StoreUpdate quiet = this->answer(*watch, StoreStatus::Done, {}, 7, false, { 1 + watch->wait.count + 4 });
    CHECK(quiet.isConfirmed);
    CHECK(quiet.confirmedAt >= Milliseconds{ 1 } + watch->wait);
}

TEST(StoreReader, PausesAfterChangesToCollectFurtherOnes)
{
    this->readAll({ 0 });
    const auto watch = this->reader.next({ 1 }, true);
    const StoreUpdate news = this->answer(*watch, StoreStatus::Done, { item("p/a", 8) }, 8, false, { 50 });
    LONGS_EQUAL(1, news.changes.size());
    CHECK_FALSE(this->reader.next({ 51 }, true).has_value());
    CHECK(this->reader.next(this->reader.nextAt(), true).has_value());
}

TEST(StoreReader, ReadsEverythingAgainWhenHistoryIsLost)
{
    this->readAll({ 0 });
    const auto watch = this->reader.next({ 1 }, true);
    CHECK_FALSE(this->answer(*watch, StoreStatus::HistoryLost, {}, 0, false, { 5 }).isConfirmed);
    const auto again = this->reader.next({ 5 }, true);
    CHECK(again && again->operation == StoreOperation::ReadRange);
    CHECK(again->afterKey.empty());
    const StoreUpdate news = this->answer(*again, StoreStatus::Done, {}, 12, false, { 9 });
    LONGS_EQUAL_TEXT(1, news.changes.size(), "a missing key was removed");
    CHECK(news.changes.front().removed);
}

TEST(StoreReader, PausesLongerAfterEachFailure)
{
    for (const StoreStatus status : { StoreStatus::Refused, StoreStatus::Unknown }) {
        StoreView ownView;
        StoreReader each({ .prefix = "p/" }, ownView, this->numbers, this->random);
        Milliseconds now;
        Milliseconds lastPause;
        for (int failure = 0; failure < 4; ++failure) {
            const auto request = each.next(now, true);
            CHECK(request.has_value());
            StoreAnswer failed;
            failed.number = request->number;
            failed.status = status;
            CHECK(each.answered(failed, now).isFailure);
            const Milliseconds pause = each.nextAt() - now;
            CHECK(pause.count > lastPause.count * 0.9);
            lastPause = pause;
            now = each.nextAt();
        }
    }
}

TEST(StoreReader, IgnoresAnswersToOtherCalls)
{
    const auto request = this->reader.next({ 0 }, true);
    StoreAnswer other;
    other.number = request->number + 100;
    other.status = StoreStatus::Done;
    other.at = 50;
    CHECK_FALSE(this->reader.answered(other, { 1 }).isConfirmed);
    LONGS_EQUAL(0, this->view.revision());
}
