// Seen in the platform's pages, not yet on a day: a backend server that turns a
// request away with 503 may say with Retry-After for how long it wants nothing
// from the instance that it answered. The instance sent it the same request
// three more times, and 5 of the next 5.
// Cause: the header dialect read nothing of the kind, and no part of the
// decisions knew of a pause: a refusal rests a server for 10 to 320 ms.
// Proof: this test on the code before, over real connections.

#include "Tests/Platform/LoopbackInstance.h"
#include "Tests/Platform/ScriptedServer.h"

#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

/** A request that cannot be served is refused within this: one that waits does so for 330 ms, 0.22 of the target. */
constexpr Milliseconds AtOnce{ 150 };

/** By its figures the better choice. */
std::string freeAnswer(const ScriptedRequest& request)
{
    return scriptedAnswer(request, 200, "Instance-Id: i-a\r\nInstance-Load: 0,0,3,100\r\n");
}

std::string busyAnswer(const ScriptedRequest& request)
{
    return scriptedAnswer(request, 200, "Instance-Load: 1,0,3,150\r\n");
}

/** Turns a request away with these further fields. */
std::string turnedAway(const ScriptedRequest& request, const std::string& fields)
{
    return scriptedAnswer(request, 503, "Not-Executed: 1\r\n" + fields);
}

std::string retryAfter(const std::string& value)
{
    return "Retry-After: " + value + "\r\n";
}

/** What a server asks for, and whether it is left alone so long after that; refusals alone rest it for 320 ms at most.
 */
struct Case {
    const char* name;
    std::string fields;
    Milliseconds after;
    bool isLeftAlone;
};

const std::vector<Case> Cases{
    { "seconds with a fraction", retryAfter("2.5"), { 250 }, true },
    { "a fraction of a second, over", retryAfter("0.2"), { 700 }, false },
    { "whole seconds", retryAfter("3"), { 250 }, true },
    { "whole seconds, over", retryAfter("1"), { 1700 }, false },
    { "blanks around it", retryAfter("  2.5 "), { 250 }, true },
    { "nothing", retryAfter("0"), { 50 }, false },
    { "a huge number", retryAfter("999999999999999999999999999999"), { 250 }, true },
    { "a number beyond all bounds", retryAfter(std::string(400, '9')), { 250 }, true },
    { "a date to come", retryAfter("Fri, 01 Jan 2100 00:00:00 GMT"), { 250 }, true },
    { "a date to come, in an old form", retryAfter("Friday, 01-Jan-38 00:00:00 GMT"), { 250 }, true },
    { "a date that has passed", retryAfter("Sun, 06 Nov 1994 08:49:37 GMT"), { 50 }, false },
    { "a date by the server's own clock",
        "Date: Sun, 06 Nov 1994 08:49:37 GMT\r\n" + retryAfter("Sun, 06 Nov 1994 08:50:37 GMT"), { 250 }, true },
    { "rubbish", retryAfter("soon"), { 50 }, false },
    { "less than nothing", retryAfter("-5"), { 50 }, false },
    { "a number and more", retryAfter("5 apples"), { 50 }, false },
    { "another notation", retryAfter("1e3"), { 50 }, false },
    { "no number at all", retryAfter("nan"), { 50 }, false },
    { "an empty value", retryAfter(""), { 50 }, false },
};

}

TEST_GROUP(AskedPauses)
{
    std::unique_ptr<asio::io_context> context; // outlives what uses it
    std::unique_ptr<LoopbackInstance> instance;
    std::unique_ptr<ScriptedServer> asking; // i-a
    std::unique_ptr<ScriptedServer> other; // i-b

    /** With i-a alone, which answers like this. */
    void begin(const ScriptedServer::Script& script)
    {
        this->instance.reset();
        this->asking.reset();
        this->other.reset();
        this->context = std::make_unique<asio::io_context>();
        this->instance = std::make_unique<LoopbackInstance>(*this->context);
        this->asking = std::make_unique<ScriptedServer>(*this->context, script);
        this->other = std::make_unique<ScriptedServer>(*this->context, busyAnswer);
        this->instance->putServer("i-a", this->asking->address());
    }

    /** i-a has turned a request away like this, and would take the next one. */
    void turnAway(const std::string& fields)
    {
        this->begin([fields, turnsAway = true](const ScriptedRequest& request) mutable {
            const bool isNext = !request.isProbe && std::exchange(turnsAway, false);
            return isNext ? turnedAway(request, fields) : freeAnswer(request);
        });
        this->instance->call();
    }

    void addOther() const
    {
        this->instance->putServer("i-b", this->other->address());
    }
};

TEST(AskedPauses, AreKeptAsAsked)
{
    for (const Case& item : Cases) {
        this->turnAway(item.fields);
        this->addOther();
        this->instance->pass(item.after);
        const std::size_t requests = this->asking->requests();
        const std::size_t probes = this->asking->probes();
        for (int call = 0; call < 5; ++call)
            LONGS_EQUAL_TEXT(200, this->instance->call().status, item.name);
        CHECK_EQUAL_TEXT(item.isLeftAlone, this->asking->requests() == requests, item.name);
        if (item.isLeftAlone)
            LONGS_EQUAL_TEXT(probes, this->asking->probes(), item.name);
    }
}

TEST(AskedPauses, OfAllServersRefuseRequestsAtOnceUntilThen)
{
    this->turnAway(retryAfter("2"));
    const std::size_t requests = this->asking->requests();
    const CallerAnswer refused = this->instance->call();
    LONGS_EQUAL(503, refused.status);
    CHECK(refused.took < AtOnce);
    const double comeBack = std::stod("0" + refused.field("Retry-After"));
    CHECK_TEXT(comeBack >= 1.5 && comeBack <= 5, "not before it is over, and not all at the same moment");
    LONGS_EQUAL(requests, this->asking->requests());
}

TEST(AskedPauses, ThatEndSoonAreWaitedFor)
{
    // Within the share of the target latency, 1.5 s, that a request may wait.
    this->turnAway(retryAfter("0.02"));
    LONGS_EQUAL(200, this->instance->call().status);
}

TEST(AskedPauses, InAHealthAnswerAreKeptToo)
{
    this->begin([](const ScriptedRequest& request) {
        return request.isProbe ? turnedAway(request, "Instance-Id: i-a\r\n" + retryAfter("5")) : freeAnswer(request);
    });
    this->addOther();
    for (int call = 0; call < 8; ++call)
        LONGS_EQUAL(200, this->instance->call().status);
    LONGS_EQUAL(0, this->asking->requests());
    LONGS_EQUAL(1, this->asking->probes());
}

TEST(AskedPauses, OutliveTheRecordAndEndWithTheLife)
{
    this->turnAway(retryAfter("30"));
    this->addOther();
    this->instance->removeServer("i-a");
    this->instance->call();
    this->instance->putServer("i-a", this->asking->address());
    const std::size_t requests = this->asking->requests();
    for (int call = 0; call < 5; ++call)
        this->instance->call();
    LONGS_EQUAL(requests, this->asking->requests());
    this->instance->putServer("i-a", this->asking->address(), 2000);
    for (int call = 0; call < 5; ++call)
        this->instance->call();
    CHECK(this->asking->requests() > requests);
}
