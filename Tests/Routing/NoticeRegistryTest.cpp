#include "Routing/NoticeRegistry.h"

#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

/** Notices of shutdown by lives of one server, in this order, and whether a life then counts as leaving. */
struct Case {
    const char* name;
    std::vector<std::uint64_t> notices;
    std::uint64_t life;
    bool isLeaving;
};

const std::vector<Case> Cases{
    { "no notice", {}, 5, false },
    { "a notice of this life", { 5 }, 5, true },
    { "a notice of an earlier life", { 5 }, 9, false },
    { "a late notice of an earlier life as well", { 9, 5 }, 9, true },
    { "an earlier life has been replaced", { 5, 9 }, 5, false },
    { "lives without a number", { 0 }, 0, true },
};

}

TEST_GROUP(NoticeRegistry){};

TEST(NoticeRegistry, KeepsNoticesByLife)
{
    for (const Case& item : Cases) {
        NoticeRegistry registry({});
        for (const std::uint64_t life : item.notices)
            registry.recordLeaving("s1", life, { 10 });
        CHECK_EQUAL_TEXT(item.isLeaving, registry.isLeaving("s1", item.life), item.name);
        CHECK_FALSE_TEXT(registry.isLeaving("s2", item.life), item.name);
    }
}

TEST(NoticeRegistry, ReportsANoticeAsNewOnce)
{
    NoticeRegistry registry({});
    CHECK(registry.recordLeaving("s1", 5, { 10 }));
    CHECK_FALSE(registry.recordLeaving("s1", 5, { 20 }));
    CHECK_FALSE(registry.recordLeaving("s1", 4, { 30 }));
    CHECK(registry.recordLeaving("s1", 6, { 40 }));
}

TEST(NoticeRegistry, DropsTheOldestEntryWhenFull)
{
    NoticeRegistry registry({ .maxEntries = 100 });
    for (int server = 0; server < 100; ++server)
        registry.recordLeaving("s" + std::to_string(server), 1, { static_cast<double>(server) });
    registry.recordLeaving("s0", 1, { 200 });
    registry.recordLeaving("last", 1, { 300 });
    CHECK(registry.isLeaving("s0", 1));
    CHECK_FALSE(registry.isLeaving("s1", 1));
    CHECK(registry.isLeaving("s2", 1));
    CHECK(registry.isLeaving("last", 1));
}

TEST(NoticeRegistry, KeepsTheLatestEndOfAPauseOfALife)
{
    NoticeRegistry registry({});
    CHECK(registry.pausedUntil("s1", 5) == LongAgo);
    CHECK(registry.recordPause("s1", 5, { 500 }, { 10 }));
    CHECK_FALSE_TEXT(registry.recordPause("s1", 5, { 400 }, { 20 }), "a shorter pause does not replace a longer one");
    CHECK(registry.pausedUntil("s1", 5) == Milliseconds{ 500 });
    CHECK(registry.recordPause("s1", 5, { 900 }, { 30 }));
    CHECK(registry.pausedUntil("s1", 6) == LongAgo);
    CHECK_FALSE_TEXT(registry.recordPause("s1", 4, { 2000 }, { 40 }), "a pause of an earlier life");
    CHECK(registry.recordPause("s1", 6, { 600 }, { 50 }));
    CHECK(registry.pausedUntil("s1", 6) == Milliseconds{ 600 });
    CHECK(registry.pausedUntil("s1", 5) == LongAgo);
}
