#include "Admission/RetryAfterDelay.h"

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
    { "no free slot: at least the target latency", RefusalReason::WaitedTooLong, { 600 }, 0, { 600 } },
    { "no free slot: spread over another target latency", RefusalReason::WaitedTooLong, { 600 }, 0.5, { 900 } },
    { "refused by servers with free slots: soon", RefusalReason::BackendServersRefused, { 1000 }, 0.5, { 225 } },
    { "but at least the minimum", RefusalReason::BackendServersRefused, { 100 }, 0, { 100 } },
    { "at most the maximum for a slow route", RefusalReason::QueueFull, { 9000 }, 0.5, { 3000 } },
    { "no backend server: independent of the target", RefusalReason::NoBackendServer, { 9000 }, 0.5, { 1000 } },
};

}

TEST_GROUP(RetryAfterDelay){};

TEST(RetryAfterDelay, DependsOnTheReason)
{
    for (const Case& item : Cases)
        DOUBLES_EQUAL_TEXT(
            item.expected.count, computeRetryAfter(item.reason, item.target, item.random).count, 0.1, item.name);
}

TEST(RetryAfterDelay, IsNotBeforeTheEndOfAPause)
{
    DOUBLES_EQUAL(2000, computeRetryAfterForPause({ 2000 }, 0).count, 0.1);
    DOUBLES_EQUAL_TEXT(
        3000, computeRetryAfterForPause({ 2000 }, 0.5).count, 0.1, "spread over as long again as the pause");
    DOUBLES_EQUAL_TEXT(10000, computeRetryAfterForPause({ 1e15 }, 0.5).count, 0.1,
        "bounded, as other servers may have started by then");
}
