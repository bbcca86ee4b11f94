#include "Crashes/BrokenAttemptTracker.h"

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

TEST_GROUP(BrokenAttemptTracker){};

TEST(BrokenAttemptTracker, ChecksAServerOnceAtATime)
{
    BrokenAttemptTracker attempts({});
    CHECK(attempts.add(at("s1", OneRequest, { 0 }), { 0 }));
    CHECK(!attempts.add(at("s1", OtherRequest, { 1 }), { 1 }));
    CHECK(attempts.add(at("s2", OneRequest, { 1 }), { 1 }));
    LONGS_EQUAL(2, attempts.countOf(OneRequest));
    LONGS_EQUAL(2, attempts.takeCrashed("s1").size());
    LONGS_EQUAL(1, attempts.countOf(OneRequest));
    CHECK(attempts.add(at("s1", OneRequest, { 2 }), { 2 }));
}

TEST(BrokenAttemptTracker, ChecksAServerTwiceThatMayStillBeEnding)
{
    BrokenAttemptTracker attempts({});
    attempts.add(at("s1", OneRequest, { 0 }), { 0 });
    CHECK(attempts.nextCheck() == Never);
    attempts.connectionEstablished("s1", { 2 });
    DOUBLES_EQUAL(32, attempts.nextCheck().count, 0.1);
    LONGS_EQUAL(0, attempts.takeDueChecks({ 31 }).size());
    LONGS_EQUAL(1, attempts.takeDueChecks({ 32 }).size());
    LONGS_EQUAL(0, attempts.takeDueChecks({ 33 }).size());
    LONGS_EQUAL(1, attempts.countOf(OneRequest));
    // The server lives: a later crash is no evidence against this request.
    attempts.connectionEstablished("s1", { 34 });
    CHECK(attempts.nextCheck() == Never);
    LONGS_EQUAL(0, attempts.takeCrashed("s1").size());
}

TEST(BrokenAttemptTracker, ANewLifeBetweenTheChecksProvesACrash)
{
    BrokenAttemptTracker attempts({});
    attempts.add(at("s1", OneRequest, { 0 }), { 0 });
    attempts.connectionEstablished("s1", { 1 });
    LONGS_EQUAL(1, attempts.takeCrashed("s1").size());
}

TEST(BrokenAttemptTracker, KeepsNoAttemptsOfServersInAnUnknownState)
{
    BrokenAttemptTracker attempts({});
    attempts.add(at("s1", OneRequest, { 0 }), { 0 });
    attempts.forget("s1");
    LONGS_EQUAL(0, attempts.takeCrashed("s1").size());
    attempts.add(at("s2", OneRequest, { 0 }), { 0 });
    attempts.connectionEstablished("s2", { 1 });
    attempts.add(at("s3", OneRequest, { 1100 }), { 1100 });
    LONGS_EQUAL(0, attempts.takeCrashed("s2").size());
}

TEST(BrokenAttemptTracker, AreBounded)
{
    BrokenAttemptTracker attempts({ .maxAttempts = 3 });
    for (int number = 0; number < 10; ++number)
        attempts.add(at("s" + std::to_string(number), OneRequest, { 0 }), { 0 });
    LONGS_EQUAL(3, attempts.size());
    attempts.add(at("s1", {}, { 0 }), { 0 });
    LONGS_EQUAL(3, attempts.size());
}
