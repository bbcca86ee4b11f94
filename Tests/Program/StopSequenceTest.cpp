#include "Program/StopSequence.h"
#include "Program/LineBudget.h"

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

TEST_GROUP(StopSequence)
{
    StopSequence stop{ { .lead = { 1000 }, .bound = { 5000 } } };
};

TEST(StopSequence, ServesOnUntilTheLeadIsOver)
{
    CHECK(this->stop.advance(false, { 10 }) == StopSequence::Step::None);
    this->stop.begin({ 100 });
    CHECK(this->stop.advance(false, { 1000 }) == StopSequence::Step::Announced);
    CHECK(this->stop.advance(false, { 1100 }) == StopSequence::Step::Draining);
    CHECK(this->stop.advance(true, { 1200 }) == StopSequence::Step::Draining);
    CHECK(this->stop.advance(false, { 1300 }) == StopSequence::Step::Ended);
}

TEST(StopSequence, EndsBeforeItsBoundEvenWithWork)
{
    this->stop.begin({ 0 });
    this->stop.advance(true, { 1500 });
    CHECK(this->stop.advance(true, { 4700 }) == StopSequence::Step::Draining);
    CHECK(this->stop.advance(true, { 4760 }) == StopSequence::Step::Ended);
}

TEST(StopSequence, ASecondRequestChangesNothing)
{
    this->stop.begin({ 0 });
    this->stop.begin({ 900 });
    CHECK(this->stop.advance(false, { 1000 }) == StopSequence::Step::Draining);
}

TEST(StopSequence, LinesBeyondTheBudgetAreCounted)
{
    LineBudget budget({ .perSecond = 10, .burst = 5 });
    int written = 0;
    for (int line = 0; line < 1000; ++line)
        written += budget.take({ line * 1.0 }) ? 1 : 0;
    CHECK(written >= 14 && written <= 16);
    LONGS_EQUAL(1000 - written, budget.takeLeftOut());
    LONGS_EQUAL(0, budget.takeLeftOut());
}
