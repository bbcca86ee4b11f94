#include "Admission/CallerPatience.h"

#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

/** What a caller has spent, and whether it can still be in time. */
struct Case {
    const char* name;
    Milliseconds spent;
    Milliseconds expected;
    bool isLate;
};

constexpr Milliseconds Target{ 600 };

const std::vector<Case> Cases{
    { "a first try", { 0 }, { 250 }, false },
    { "back soon", { 200 }, { 250 }, false },
    { "back after most of its target", { 500 }, { 250 }, true },
    { "back after its target", { 700 }, { 250 }, true },
    { "a first try at a service slower than the target", { 0 }, { 900 }, false },
    { "back soon at a service slower than the target", { 250 }, { 900 }, false },
    { "back late at a service slower than the target", { 350 }, { 900 }, true },
};

}

TEST_GROUP(CallerPatience)
{
    CallerPatience patience;
};

TEST(CallerPatience, TellsLateCallersFromOthers)
{
    for (const Case& item : Cases)
        CHECK_EQUAL_TEXT(item.isLate, isLateCaller(item.spent, item.expected, Target), item.name);
}

TEST(CallerPatience, TheLongestTimeSeenIsThatOfAFirstTry)
{
    DOUBLES_EQUAL(0, this->patience.spentBefore({ 3000 }).count, 1);
    DOUBLES_EQUAL(0, this->patience.spentBefore({ 4000 }).count, 1);
    DOUBLES_EQUAL(800, this->patience.spentBefore({ 3200 }).count, 10);
    DOUBLES_EQUAL(0, this->patience.spentBefore({ 4000 }).count, 1);
}

TEST(CallerPatience, APatientCallerDoesNotCountForLong)
{
    this->patience.spentBefore({ 60000 });
    Milliseconds spent;
    for (int caller = 0; caller < 2000; ++caller)
        spent = this->patience.spentBefore({ 4000 });
    CHECK(spent < Milliseconds{ 100 });
}
