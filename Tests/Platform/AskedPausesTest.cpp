// A backend server that refuses a request with 503 may say in Retry-After for how
// long it wants no requests from this instance. An instance that ignores the
// field only backs off for 10 to 320 ms after a refusal: it sent the server the
// same request three more times, and then 5 of the next 5 requests.

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

/** Upper bound for a refusal without waiting; a request that waits does so for 330 ms, 0.22 of the target latency. */
constexpr Milliseconds MaxTimeToRefuse{ 150 };

/** Reports less load than busyAnswer, so that its server is preferred. */
std::string freeAnswer(const ScriptedRequest& request)
{
    return scriptedAnswer(request, 200, "Instance-Id: i-a\r\nInstance-Load: 0,0,3,100\r\n");
}

std::string busyAnswer(const ScriptedRequest& request)
{
    return scriptedAnswer(request, 200, "Instance-Load: 1,0,3,150\r\n");
}

/** Refuses a request; the answer has these further fields. */
std::string refusalWith(const ScriptedRequest& request, const std::string& fields)
{
    return scriptedAnswer(request, 503, "Not-Executed: 1\r\n" + fields);
}

std::string retryAfter(const std::string& value)
{
    return "Retry-After: " + value + "\r\n";
}

struct Case {
    const char* name;
    std::string fields; // of the server's refusal
    Milliseconds after; // time since the refusal; without a requested pause, the back-off lasts 320 ms at most
    bool isLeftAlone; // at that time the server gets neither requests nor probes
};

const std::vector<Case> Cases{
    { "seconds with a fraction", retryAfter("2.5"), { 250 }, true },
    { "a fraction of a second that has passed", retryAfter("0.2"), { 700 }, false },
    { "whole seconds", retryAfter("3"), { 250 }, true },
    { "whole seconds that have passed", retryAfter("1"), { 1700 }, false },
    { "blanks around it", retryAfter("  2.5 "), { 250 }, true },
    { "zero", retryAfter("0"), { 50 }, false },
    { "a huge number", retryAfter("999999999999999999999999999999"), { 250 }, true },
    { "a number that is too large for a double", retryAfter(std::string(400, '9')), { 250 }, true },
    { "a future date", retryAfter("Fri, 01 Jan 2100 00:00:00 GMT"), { 250 }, true },
    { "a future date in an obsolete format", retryAfter("Friday, 01-Jan-38 00:00:00 GMT"), { 250 }, true },
    { "a past date", retryAfter("Sun, 06 Nov 1994 08:49:37 GMT"), { 50 }, false },
    { "a date relative to the server's own clock",
        "Date: Sun, 06 Nov 1994 08:49:37 GMT\r\n" + retryAfter("Sun, 06 Nov 1994 08:50:37 GMT"), { 250 }, true },
    { "a word", retryAfter("soon"), { 50 }, false },
    { "a negative number", retryAfter("-5"), { 50 }, false },
    { "a number and other text", retryAfter("5 apples"), { 50 }, false },
    { "an exponent", retryAfter("1e3"), { 50 }, false },
    { "not a number", retryAfter("nan"), { 50 }, false },
    { "an empty value", retryAfter(""), { 50 }, false },
};

}

TEST_GROUP(AskedPauses)
{
    std::unique_ptr<asio::io_context> context; // must outlive the objects below
    std::unique_ptr<LoopbackInstance> instance;
    std::unique_ptr<ScriptedServer> pausing; // backend server i-a
    std::unique_ptr<ScriptedServer> other; // backend server i-b

    /** Starts an instance with i-a as its only server, which answers by this script. */
    void begin(const ScriptedServer::Script& script)
    {
        this->instance.reset();
        this->pausing.reset();
        this->other.reset();
        this->context = std::make_unique<asio::io_context>();
        this->instance = std::make_unique<LoopbackInstance>(*this->context);
        this->pausing = std::make_unique<ScriptedServer>(*this->context, script);
        this->other = std::make_unique<ScriptedServer>(*this->context, busyAnswer);
        this->instance->putServer("i-a", this->pausing->address());
    }

    /** Starts an instance whose server i-a has refused one request with these fields and would accept the next. */
    void beginAfterRefusal(const std::string& fields)
    {
        this->begin([fields, turnsAway = true](const ScriptedRequest& request) mutable {
            const bool isNext = !request.isProbe && std::exchange(turnsAway, false);
            return isNext ? refusalWith(request, fields) : freeAnswer(request);
        });
        this->instance->call();
    }

    void addOther() const
    {
        this->instance->putServer("i-b", this->other->address());
    }
};

TEST(AskedPauses, AreRespected)
{
    for (const Case& item : Cases) {
        this->beginAfterRefusal(item.fields);
        this->addOther();
        this->instance->runFor(item.after);
        const std::size_t requests = this->pausing->requests();
        const std::size_t probes = this->pausing->probes();
        for (int call = 0; call < 5; ++call)
            LONGS_EQUAL_TEXT(200, this->instance->call().status, item.name);
        CHECK_EQUAL_TEXT(item.isLeftAlone, this->pausing->requests() == requests, item.name);
        if (item.isLeftAlone)
            LONGS_EQUAL_TEXT(probes, this->pausing->probes(), item.name);
    }
}

TEST(AskedPauses, OfAllServersRefuseRequestsAtOnce)
{
    this->beginAfterRefusal(retryAfter("2"));
    const std::size_t requests = this->pausing->requests();
    const CallerAnswer refused = this->instance->call();
    LONGS_EQUAL(503, refused.status);
    CHECK(refused.took < MaxTimeToRefuse);
    const double comeBack = std::stod("0" + refused.field("Retry-After"));
    CHECK_TEXT(comeBack >= 1.5 && comeBack <= 5, "not before the pause is over, and spread over time");
    LONGS_EQUAL(requests, this->pausing->requests());
}

TEST(AskedPauses, ThatEndSoonAreWaitedFor)
{
    // Within the share of the target latency, 1.5 s, that a request may wait.
    this->beginAfterRefusal(retryAfter("0.02"));
    LONGS_EQUAL(200, this->instance->call().status);
}

TEST(AskedPauses, InProbeAnswersAreRespected)
{
    this->begin([](const ScriptedRequest& request) {
        return request.isProbe ? refusalWith(request, "Instance-Id: i-a\r\n" + retryAfter("5")) : freeAnswer(request);
    });
    this->addOther();
    for (int call = 0; call < 8; ++call)
        LONGS_EQUAL(200, this->instance->call().status);
    LONGS_EQUAL(0, this->pausing->requests());
    LONGS_EQUAL(1, this->pausing->probes());
}

TEST(AskedPauses, OutliveTheRecordAndEndWithTheLifeOfTheServer)
{
    this->beginAfterRefusal(retryAfter("30"));
    this->addOther();
    this->instance->removeServer("i-a");
    this->instance->call();
    this->instance->putServer("i-a", this->pausing->address());
    const std::size_t requests = this->pausing->requests();
    for (int call = 0; call < 5; ++call)
        this->instance->call();
    LONGS_EQUAL(requests, this->pausing->requests());
    this->instance->putServer("i-a", this->pausing->address(), 2000);
    for (int call = 0; call < 5; ++call)
        this->instance->call();
    CHECK(this->pausing->requests() > requests);
}
