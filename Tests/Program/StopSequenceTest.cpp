#include "Program/StopSequence.h"
#include "Program/LineBudget.h"
#include "Program/StopWaits.h"

// Redefines operator new, so it must follow all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

TEST_GROUP(StopSequence)
{
    using Step = StopSequence::Step;

    StopSequence stop{ { .lead = { 1000 }, .bound = { 5000 } } };

    /** Advances with a count that was made for the previous call. */
    Step advance(std::size_t unfinished, double now)
    {
        return this->stop.advance({ .unfinished = unfinished, .look = this->stop.look() }, { now });
    }
};

TEST(StopSequence, ServesOnUntilTheLeadIsOver)
{
    CHECK(this->advance(0, 10) == Step::None);
    this->stop.begin({ 100 });
    CHECK(this->advance(0, 1000) == Step::Announced);
    CHECK(this->advance(0, 1100) == Step::Draining);
    CHECK(this->advance(1, 1150) == Step::Draining);
    CHECK(this->advance(1, 1200) == Step::Draining);
    CHECK(this->advance(0, 1300) == Step::Closing);
    CHECK(this->advance(1, 1350) == Step::Closing);
    CHECK(this->advance(1, 1400) == Step::Closing);
    CHECK(this->advance(0, 1450) == Step::Ended);
}

TEST(StopSequence, EndsBeforeItsBoundEvenWithWork)
{
    this->stop.begin({ 0 });
    this->advance(1, 1500);
    CHECK(this->advance(1, 2900) == Step::Draining);
    CHECK_TEXT(this->advance(1, 3000) == Step::Closing, "late callers are accepted for half of the remaining time");
    CHECK(this->advance(1, 4700) == Step::Closing);
    CHECK(this->advance(1, 4760) == Step::Ended);
}

// Requests that are sent to a server until the process exits lose their answers.
TEST(StopSequence, AnswersAreDueBeforeTheExit)
{
    CHECK(this->stop.times().answersDue == Never);
    this->stop.begin({ 100 });
    CHECK(this->stop.times().noticedBy == Milliseconds{ 1100 });
    const Milliseconds due = this->stop.times().answersDue;
    CHECK_TEXT(due == Milliseconds{ 4650 }, "time to write the last answers is left");
    CHECK(this->advance(1, due.count + 100) != Step::Ended);
    CHECK(this->advance(1, due.count + 200) == Step::Ended);
}

TEST(StopSequence, ASecondRequestChangesNothing)
{
    this->stop.begin({ 0 });
    this->stop.begin({ 900 });
    CHECK(this->advance(0, 1000) == Step::Draining);
}

// On a busy machine the traffic thread is delayed: a count that it made before
// the current step, or while the listener was closed, may miss newer connections.
TEST(StopSequence, OnlyACountOfTheLookBeforeEndsIt)
{
    this->stop.begin({ 0 });
    CHECK(this->advance(0, 1000) == Step::Draining);
    const std::uint64_t draining = this->stop.look();
    CHECK_TEXT(this->stop.advance({ .unfinished = 0, .look = draining }, { 1010 }) == Step::Draining,
        "counted before late callers were checked for");
    CHECK(this->stop.advance({ .unfinished = 0, .look = draining + 1 }, { 1020 }) == Step::Closing);
    const std::uint64_t closing = this->stop.look();
    CHECK_TEXT(this->stop.advance({ .unfinished = 0, .look = closing }, { 1050 }) == Step::Closing,
        "counted before the last connections were accepted");
    CHECK_TEXT(this->stop.advance({ .unfinished = 0, .look = closing }, { 1100 }) == Step::Closing, "late");
    CHECK_TEXT(this->stop.advance({ .unfinished = 0, .look = closing + 1 }, { 1150 }) == Step::Closing, "late");
    CHECK(this->stop.advance({ .unfinished = 0, .look = closing + 3 }, { 1200 }) == Step::Ended);
}

// Without it, nobody could tell why a process had not ended within its grace period.
TEST(StopSequence, WhatItWaitedForIsLogged)
{
    StopWaits waits;
    waits.begin({ 1000 });
    waits.note({ .requests = 2, .callers = 3 }, { 1500 });
    waits.note({ .requests = 0, .callers = 1 }, { 2200 });
    STRCMP_EQUAL("\"took\":1250,\"requests_until\":500,\"callers_until\":1200,\"requests_left\":0,\"callers_left\":1",
        waits.fields({ 2250 }).c_str());
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
