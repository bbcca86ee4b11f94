#include "Membership/FleetSize.h"

#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

struct Count {
    double at; // milliseconds
    std::size_t instances;
};

struct Case {
    const char* name;
    std::vector<Count> counts;
    double askedAt;
    std::size_t expected; // 0: not known
    std::size_t recorded = 0; // in the store, received at the first count
    std::size_t toRecord = 0; // 0: the same as expected
};

const std::vector<Case> Cases{
    { "never counted", {}, 5000, 0 },
    { "started recently", { { 100, 1 }, { 1200, 40 } }, 2900, 0 },
    { "after the initial delay", { { 100, 1 }, { 1200, 40 }, { 3100, 95 } }, 3200, 95 },
    { "cut off from the others", { { 100, 95 }, { 20000, 1 }, { 60000, 1 } }, 60001, 95 },
    { "cut off beyond the end of a period", { { 100, 95 }, { 121000, 1 } }, 122000, 95 },
    { "smaller for a long time", { { 100, 95 }, { 125000, 30 }, { 250000, 30 } }, 250001, 30 },
    { "started recently, with a record", { { 100, 1 } }, 2900, 0, 95 },
    { "started behind a cut", { { 100, 1 }, { 5000, 1 } }, 5001, 95, 95 },
    { "grown since it was recorded", { { 100, 95 }, { 5000, 106 } }, 5001, 106, 95 },
    { "recorded as larger for a long time", { { 100, 30 }, { 125000, 30 }, { 250000, 30 } }, 250001, 95, 95, 30 },
    { "recorded as larger for less than two periods", { { 100, 30 }, { 125000, 30 } }, 239000, 95, 95 },
};

}

TEST_GROUP(FleetSize){};

TEST(FleetSize, IsTheLargestCountOfTheLastMinutesAndUnknownAtFirst)
{
    for (const Case& item : Cases) {
        FleetSize size;
        if (item.recorded)
            size.setRecorded(item.recorded, { item.counts.front().at });
        for (const Count& count : item.counts)
            size.counted(count.instances, { count.at });
        LONGS_EQUAL_TEXT(item.expected, size.atLeast({ item.askedAt }).value_or(0), item.name);
        const std::size_t toRecord = item.toRecord ? item.toRecord : item.expected;
        LONGS_EQUAL_TEXT(toRecord, size.toRecord({ item.askedAt }).value_or(0), item.name);
    }
}
