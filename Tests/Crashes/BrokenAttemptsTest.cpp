#include "Crashes/BrokenAttempts.h"

#include <string>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr RequestDigest OneRequest{ .high = 1, .low = 1 };
constexpr RequestDigest OtherRequest{ .high = 1, .low = 2 };

BrokenAttempt at(const std::string& server, const RequestDigest& digest, Milliseconds time)
{
    return { .digest = digest, .backendServer = server, .brokeAt = time };
}

}

TEST_GROUP(BrokenAttempts){};

TEST(BrokenAttempts, ChecksAServerOnceAtATime)
{
    BrokenAttempts attempts({});
    CHECK(attempts.add(at("s1", OneRequest, { 0 }), { 0 }));
    CHECK(!attempts.add(at("s1", OtherRequest, { 1 }), { 1 }));
    CHECK(attempts.add(at("s2", OneRequest, { 1 }), { 1 }));
    LONGS_EQUAL(2, attempts.of(OneRequest));
    LONGS_EQUAL(2, attempts.ended("s1").size());
    LONGS_EQUAL(1, attempts.of(OneRequest));
    CHECK(attempts.add(at("s1", OneRequest, { 2 }), { 2 }));
}

TEST(BrokenAttempts, ChecksAServerTwiceThatMayStillBeEnding)
{
    BrokenAttempts attempts({});
    attempts.add(at("s1", OneRequest, { 0 }), { 0 });
    CHECK(attempts.nextLook() == Never);
    attempts.cameUp("s1", { 2 });
    DOUBLES_EQUAL(32, attempts.nextLook().count, 0.1);
    LONGS_EQUAL(0, attempts.takeDue({ 31 }).size());
    LONGS_EQUAL(1, attempts.takeDue({ 32 }).size());
    LONGS_EQUAL(0, attempts.takeDue({ 33 }).size());
    LONGS_EQUAL(1, attempts.of(OneRequest));
    // The server lives: a later crash is no evidence against this request.
    attempts.cameUp("s1", { 34 });
    CHECK(attempts.nextLook() == Never);
    LONGS_EQUAL(0, attempts.ended("s1").size());
}

TEST(BrokenAttempts, ANewLifeBetweenTheChecksProvesACrash)
{
    BrokenAttempts attempts({});
    attempts.add(at("s1", OneRequest, { 0 }), { 0 });
    attempts.cameUp("s1", { 1 });
    LONGS_EQUAL(1, attempts.ended("s1").size());
}

TEST(BrokenAttempts, KeepsNoAttemptsOfServersInAnUnknownState)
{
    BrokenAttempts attempts({});
    attempts.add(at("s1", OneRequest, { 0 }), { 0 });
    attempts.forget("s1");
    LONGS_EQUAL(0, attempts.ended("s1").size());
    attempts.add(at("s2", OneRequest, { 0 }), { 0 });
    attempts.cameUp("s2", { 1 });
    attempts.add(at("s3", OneRequest, { 1100 }), { 1100 });
    LONGS_EQUAL(0, attempts.ended("s2").size());
}

TEST(BrokenAttempts, AreBounded)
{
    BrokenAttempts attempts({ .maxAttempts = 3 });
    for (int number = 0; number < 10; ++number)
        attempts.add(at("s" + std::to_string(number), OneRequest, { 0 }), { 0 });
    LONGS_EQUAL(3, attempts.size());
    attempts.add(at("s1", {}, { 0 }), { 0 });
    LONGS_EQUAL(3, attempts.size());
}
