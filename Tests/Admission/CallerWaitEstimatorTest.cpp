#include "Admission/CallerWaitEstimator.h"

#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

/** The time that a caller has spent, and whether it counts as late. */
struct Case {
    const char* name;
    Milliseconds spent;
    Milliseconds expected;
    bool isLate;
};

constexpr Milliseconds Target{ 600 };

const std::vector<Case> Cases{
    { "a first try", { 0 }, { 250 }, false },
    { "an early retry", { 200 }, { 250 }, false },
    { "a retry after most of the target", { 500 }, { 250 }, true },
    { "a retry after the target", { 700 }, { 250 }, true },
    { "a first try at a service slower than the target", { 0 }, { 900 }, false },
    { "an early retry at a service slower than the target", { 250 }, { 900 }, false },
    { "a late retry at a service slower than the target", { 350 }, { 900 }, true },
};

}

TEST_GROUP(CallerWaitEstimator)
{
    CallerWaitEstimator patience;
};

TEST(CallerWaitEstimator, DetectsLateCallers)
{
    for (const Case& item : Cases)
        CHECK_EQUAL_TEXT(item.isLate, isLateCaller(item.spent, item.expected, Target), item.name);
}

TEST(CallerWaitEstimator, TheLongestTimeSeenIsThatOfAFirstTry)
{
    DOUBLES_EQUAL(0, this->patience.estimateTimeSpent({ 3000 }).count, 1);
    DOUBLES_EQUAL(0, this->patience.estimateTimeSpent({ 4000 }).count, 1);
    DOUBLES_EQUAL(800, this->patience.estimateTimeSpent({ 3200 }).count, 10);
    DOUBLES_EQUAL(0, this->patience.estimateTimeSpent({ 4000 }).count, 1);
}

TEST(CallerWaitEstimator, APatientCallerDoesNotCountForLong)
{
    this->patience.estimateTimeSpent({ 60000 });
    Milliseconds spent;
    for (int caller = 0; caller < 2000; ++caller)
        spent = this->patience.estimateTimeSpent({ 4000 });
    CHECK(spent < Milliseconds{ 100 });
}
