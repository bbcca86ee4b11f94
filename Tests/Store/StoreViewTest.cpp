#include "Store/StoreView.h"

#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

StoreItem put(const char* key, const char* value, StoreRevision revision)
{
    return { .key = key, .value = value, .revision = revision, .removed = false };
}

StoreItem removal(const char* key, StoreRevision revision)
{
    return { .key = key, .value = {}, .revision = revision, .removed = true };
}

/** Two changes of one key, in the order in which they arrive. */
struct Case {
    const char* name;
    StoreItem first;
    StoreItem second;
    const char* value; // afterwards; null: the key is absent
};

const std::vector<Case> Cases{
    { "newer last", put("a", "old", 3), put("a", "new", 5), "new" },
    { "older last", put("a", "new", 5), put("a", "old", 3), "new" },
    { "the same twice", put("a", "new", 5), put("a", "new", 5), "new" },
    { "removed", put("a", "old", 3), removal("a", 5), nullptr },
    { "an older write after the removal", removal("a", 5), put("a", "old", 3), nullptr },
    { "an older removal", put("a", "new", 5), removal("a", 3), "new" },
    { "written again after the removal", removal("a", 3), put("a", "new", 5), "new" },
};

}

TEST_GROUP(StoreView)
{
    StoreView view;

    const char* valueOf(const char* key) const
    {
        const StoreItem* item = this->view.find(key);
        return item ? item->value.c_str() : nullptr;
    }
};

TEST(StoreView, TheHighestRevisionWinsInAnyOrder)
{
    for (const Case& item : Cases) {
        StoreView each;
        each.applyChanges(std::vector{ item.first }, 5);
        each.applyChanges(std::vector{ item.second }, 5);
        const StoreItem* found = each.find("a");
        if (item.value)
            STRCMP_EQUAL_TEXT(item.value, found ? found->value.c_str() : "absent", item.name);
        else
            CHECK_TEXT(!found, item.name);
        LONGS_EQUAL(5, each.revision());
    }
}

TEST(StoreView, ReturnsOnlyChangesToTheView)
{
    LONGS_EQUAL(1, this->view.applyChanges(std::vector{ put("a", "x", 3) }, 3).size());
    LONGS_EQUAL(0, this->view.applyChanges(std::vector{ put("a", "x", 3) }, 3).size());
    LONGS_EQUAL(0, this->view.applyChanges(std::vector{ removal("never", 4) }, 4).size());
    LONGS_EQUAL(1, this->view.applyChanges(std::vector{ removal("a", 5) }, 5).size());
}

TEST(StoreView, AReadingRemovesMissingKeysUnlessTheyAreNewer)
{
    this->view.applyChanges(std::vector{ put("old", "x", 3), put("newer", "y", 9) }, 9);
    const auto news = this->view.replaceAll(std::vector{ put("other", "z", 4) }, 7);
    LONGS_EQUAL(2, news.size());
    CHECK(!this->valueOf("old"));
    STRCMP_EQUAL("y", this->valueOf("newer"));
    STRCMP_EQUAL("z", this->valueOf("other"));
    LONGS_EQUAL_TEXT(9, this->view.revision(), "the revision never decreases");
}

TEST(StoreView, ReturnsAllChangesSinceARevisionOrNone)
{
    this->view.replaceAll(std::vector{ put("a", "x", 3), put("b", "y", 4) }, 5);
    CHECK_TEXT(!this->view.changesSince(4), "keys added and removed before the reading are unknown");
    this->view.applyChanges(std::vector{ put("c", "z", 6), removal("a", 7) }, 7);
    const auto changes = this->view.changesSince(5);
    CHECK(changes.has_value());
    LONGS_EQUAL(2, changes->size());
    LONGS_EQUAL(0, this->view.changesSince(7)->size());
}

// Guards against sending everything to all instances after the store has lost its history, as happened in a fleet of
// 142 instances: those that were up to date before the reading need only what changed.
TEST(StoreView, AnInstanceUpToDateBeforeAReadingNeedsOnlyTheChanges)
{
    StoreView reader;
    reader.replaceAll(std::vector{ put("a", "x", 3), put("b", "y", 4) }, 5);
    reader.replaceAll(std::vector{ put("a", "x", 3), put("c", "z", 8) }, 9);
    CHECK_TEXT(!reader.changesSince(7), "it may have a key that was added and removed in the gap");
    CHECK_TEXT(!reader.changesSince(4), "before the first reading");
    const auto changes = reader.changesSince(5);
    CHECK(changes.has_value());
    LONGS_EQUAL_TEXT(2, changes->size(), "one key was added, one removed");
    StoreView follower;
    follower.replaceAll(std::vector{ put("a", "x", 3), put("b", "y", 4) }, 5);
    follower.applyChanges(*changes, reader.revision());
    CHECK(follower.find("c") && !follower.find("b"));
    LONGS_EQUAL(2, follower.size());
    LONGS_EQUAL(9, follower.revision());
}

TEST(StoreView, AnInstanceThatAppliesTheChangesHasTheSameView)
{
    StoreView follower;
    this->view.replaceAll(std::vector{ put("a", "x", 3), put("b", "y", 4) }, 5);
    follower.replaceAll(this->view.all(), this->view.revision());
    this->view.applyChanges(std::vector{ removal("a", 6), put("b", "w", 8) }, 8);
    follower.applyChanges(*this->view.changesSince(follower.revision()), this->view.revision());
    CHECK(follower.all() == this->view.all());
    LONGS_EQUAL(8, follower.revision());
}

// Guards against pulls of changes that are all here: a small update overtakes the large push before it, and was
// taken for incomplete also after that push had come.
TEST(StoreView, ChangesAppliedAheadCountOnceTheEarlierOnesAreThere)
{
    struct Range {
        StoreRevision base;
        StoreRevision through;
    };
    struct Arrivals {
        const char* name;
        std::vector<Range> ranges; // in the order in which they arrive, at a view that is complete up to 5
        StoreRevision reached;
    };
    const std::vector<Arrivals> table{
        { "in order", { { 5, 7 }, { 7, 9 } }, 9 },
        { "one overtakes another", { { 7, 9 }, { 5, 7 } }, 9 },
        { "two overtake a third", { { 9, 12 }, { 7, 9 }, { 5, 7 } }, 12 },
        { "a gap remains", { { 7, 9 }, { 5, 6 } }, 6 },
        { "overlapping ones", { { 6, 9 }, { 3, 7 }, { 8, 11 } }, 11 },
        { "nothing new", { { 2, 4 }, { 3, 5 } }, 5 },
        { "one far ahead", { { 20, 30 }, { 5, 7 } }, 7 },
    };
    for (const Arrivals& item : table) {
        StoreView view;
        view.replaceAll(std::vector{ put("a", "x", 3) }, 5);
        for (const Range& range : item.ranges)
            view.recordAppliedAhead(range.base, range.through);
        LONGS_EQUAL_TEXT(item.reached, view.revision(), item.name);
    }
}

// Removals are looked up by key: with many, each applied item was compared with each of them.
TEST(StoreView, AnOldValueDoesNotReturnAfterItsRemoval)
{
    constexpr StoreRevision moreThanKept = 2000;
    this->view.applyChanges(std::vector{ put("a", "x", 3), removal("a", 4) }, 4);
    LONGS_EQUAL(0, this->view.applyChanges(std::vector{ put("a", "x", 3) }, 4).size());
    LONGS_EQUAL(1, this->view.applyChanges(std::vector{ put("a", "y", 5) }, 5).size());
    for (StoreRevision revision = 6; revision < moreThanKept; ++revision)
        this->view.applyChanges(std::vector{ removal(("b" + std::to_string(revision)).c_str(), revision) }, revision);
    LONGS_EQUAL(1, this->view.applyChanges(std::vector{ removal("a", moreThanKept) }, moreThanKept).size());
    LONGS_EQUAL(0, this->view.applyChanges(std::vector{ put("a", "y", 5) }, moreThanKept).size());
    LONGS_EQUAL(0, this->view.size());
}
