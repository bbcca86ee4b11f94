#include "Admission/ComeBackTime.h"

#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

struct Case {
    const char* name;
    RefusalReason reason;
    Milliseconds target;
    double random;
    Milliseconds expected;
};

const std::vector<Case> Cases{
    { "no room: not before a target latency", RefusalReason::WaitedTooLong, { 600 }, 0, { 600 } },
    { "no room: spread over another one", RefusalReason::WaitedTooLong, { 600 }, 0.5, { 900 } },
    { "servers with room refused: soon", RefusalReason::BackendServersRefused, { 1000 }, 0.5, { 225 } },
    { "but not at once", RefusalReason::BackendServersRefused, { 100 }, 0, { 100 } },
    { "not too late for a slow route", RefusalReason::QueueFull, { 9000 }, 0.5, { 3000 } },
    { "nobody there: the target says nothing of it", RefusalReason::NoBackendServer, { 9000 }, 0.5, { 1000 } },
};

}

TEST_GROUP(ComeBackTime){};

TEST(ComeBackTime, SaysWhenThereMayBeRoom)
{
    for (const Case& item : Cases)
        DOUBLES_EQUAL_TEXT(
            item.expected.count, comeBackAfter(item.reason, item.target, item.random).count, 0.1, item.name);
}

TEST(ComeBackTime, IsNotBeforeTheEndOfAPause)
{
    DOUBLES_EQUAL(2000, comeBackAfterPause({ 2000 }, 0).count, 0.1);
    DOUBLES_EQUAL_TEXT(3000, comeBackAfterPause({ 2000 }, 0.5).count, 0.1, "spread over as long again");
    DOUBLES_EQUAL_TEXT(10000, comeBackAfterPause({ 1e15 }, 0.5).count, 0.1, "others may have come by then");
}
