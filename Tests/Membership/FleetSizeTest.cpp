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
};

const std::vector<Case> Cases{
    { "never counted", {}, 5000, 0 },
    { "started recently", { { 100, 1 }, { 1200, 40 } }, 2900, 0 },
    { "after the initial delay", { { 100, 1 }, { 1200, 40 }, { 3100, 95 } }, 3200, 95 },
    { "cut off from the others", { { 100, 95 }, { 20000, 1 }, { 60000, 1 } }, 60001, 95 },
    { "cut off beyond the end of a period", { { 100, 95 }, { 121000, 1 } }, 122000, 95 },
    { "smaller for a long time", { { 100, 95 }, { 125000, 30 }, { 250000, 30 } }, 250001, 30 },
};

}

TEST_GROUP(FleetSize){};

TEST(FleetSize, IsTheLargestCountOfTheLastMinutesAndUnknownAtFirst)
{
    for (const Case& item : Cases) {
        FleetSize size;
        for (const Count& count : item.counts)
            size.counted(count.instances, { count.at });
        LONGS_EQUAL_TEXT(item.expected, size.atLeast({ item.askedAt }).value_or(0), item.name);
    }
}
