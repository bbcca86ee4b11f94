#include "Admission/ArrivalTokenBucket.h"

#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

/** Arrivals that do not need a token, followed by arrivals that each want one. */
struct Case {
    const char* name;
    ArrivalTokenBucket::Options options;
    int quiet; // arrivals that need no token
    int wanting;
    int letThrough;
};

const std::vector<Case> Cases{
    { "the first arrival gets a token", { .share = 0.1, .most = 3 }, 0, 1, 1 },
    { "a tenth of many arrivals", { .share = 0.1, .most = 3 }, 0, 100, 11 },
    { "saved tokens", { .share = 0.1, .most = 3 }, 100, 5, 3 },
    { "saved tokens are bounded", { .share = 0.5, .most = 2 }, 1000, 2, 2 },
};

}

TEST_GROUP(ArrivalTokenBucket){};

TEST(ArrivalTokenBucket, LetsItsShareThrough)
{
    for (const Case& item : Cases) {
        ArrivalTokenBucket share(item.options);
        for (int arrival = 0; arrival < item.quiet; ++arrival)
            share.countArrival();
        int let = 0;
        for (int arrival = 0; arrival < item.wanting; ++arrival) {
            share.countArrival();
            let += share.take() ? 1 : 0;
        }
        CHECK_TEXT(let >= item.letThrough - 1 && let <= item.letThrough + 1, item.name);
        CHECK_TEXT(item.letThrough == 0 || let > 0, item.name);
    }
}
