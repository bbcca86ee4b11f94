// Guards the evidence by which a stopping instance takes requests: too few durations, or old ones, must not count.

#include "Measurement/RecentMaximum.h"

#include <optional>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

TEST_GROUP(RecentMaximum)
{
    RecentMaximum maximum{ { .window = { 1000 }, .least = 3 } };
};

TEST(RecentMaximum, IsUnknownFromFewDurations)
{
    this->maximum.add({ 5 }, { 0 });
    this->maximum.add({ 9 }, { 10 });
    CHECK_FALSE(this->maximum.value({ 20 }).has_value());
    this->maximum.add({ 7 }, { 30 });
    CHECK(this->maximum.value({ 40 }) == Milliseconds{ 9 });
}

TEST(RecentMaximum, ForgetsAfterTwoWindows)
{
    for (const double duration : { 50, 2, 3 })
        this->maximum.add({ duration }, { 0 });
    for (const double duration : { 4, 6, 5 })
        this->maximum.add({ duration }, { 1500 });
    CHECK(this->maximum.value({ 1900 }) == Milliseconds{ 50 });
    CHECK(this->maximum.value({ 2000 }) == Milliseconds{ 6 });
    CHECK_FALSE(this->maximum.value({ 3600 }).has_value());
}
