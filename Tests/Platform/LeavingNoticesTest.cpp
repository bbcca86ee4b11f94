// A backend server that is about to stop announces it in a header field of all
// its answers. While the store is unavailable, its record cannot say so, and
// these answers are the only sign. A dialect that does not read the field lets
// all instances send the server as many requests as before: in one outage for
// 14 s, and up to 3.9 s after an instance had forwarded such an answer.

#include "Tests/Platform/LoopbackInstance.h"
#include "Tests/Platform/ScriptedServer.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

/** Reports less load than plainAnswer, so that only the announcement keeps requests away. */
constexpr const char* LeavingFields = "Server-Leaving: 1\r\nInstance-Load: 0,0,3,100\r\n";
constexpr const char* RefusedField = "Not-Executed: 1\r\n";
/** Upper bound for a refusal without waiting; a request that waits does so for 330 ms, 0.22 of the target latency. */
constexpr Milliseconds MaxTimeToRefuse{ 150 };

std::string plainAnswer(const ScriptedRequest& request)
{
    return scriptedAnswer(request, 200, "Instance-Load: 1,0,3,150\r\n");
}

/** An answer whose connection is closed before its body is complete. */
std::string brokenAnswer(const ScriptedRequest& request, const std::string& fields)
{
    const std::string id = "Request-Id: " + std::string(request.field("Request-Id")) + "\r\n";
    return "HTTP/1.1 200 x\r\nContent-Length: 99\r\nServer-Signature: s\r\n" + id + fields + "\r\nok(close)";
}

/**
 * Answers requests by this script. Answers to probes contain no announcement and report little load, so that the
 * server is preferred.
 */
ScriptedServer::Script onlyToRequests(const ScriptedServer::Script& script)
{
    return [script](const ScriptedRequest& request) {
        return request.isProbe ? scriptedAnswer(request, 200, "Instance-Id: i-a\r\nInstance-Load: 0,0,3,100\r\n")
                               : script(request);
    };
}

std::string announceLeaving(const ScriptedRequest& request)
{
    return scriptedAnswer(request, 200, LeavingFields);
}

/** A server that announces in some of its answers that it is leaving. */
struct LeavingCase {
    const char* name;
    ScriptedServer::Script script;
    std::size_t requests; // number of requests that the server gets in all
};

const std::vector<LeavingCase> LeavingCases{
    { "a success", onlyToRequests(announceLeaving), 1 },
    { "an error",
        onlyToRequests([](const ScriptedRequest& request) { return scriptedAnswer(request, 500, LeavingFields); }), 1 },
    { "a refusal", onlyToRequests([](const ScriptedRequest& request) {
         return scriptedAnswer(request, 503, std::string(RefusedField) + LeavingFields);
     }),
        1 },
    { "an answer that breaks off",
        onlyToRequests([](const ScriptedRequest& request) { return brokenAnswer(request, LeavingFields); }), 1 },
    { "a late answer to another request", onlyToRequests([](const ScriptedRequest& request) {
         const std::string late = "HTTP/1.1 200 x\r\nContent-Length: 2\r\nServer-Signature: s\r\nRequest-Id: other\r\n";
         return late + LeavingFields + "\r\nok" + plainAnswer(request);
     }),
        1 },
    { "a successful answer to a probe",
        [](const ScriptedRequest& request) {
            return request.isProbe ? scriptedAnswer(request, 200, std::string("Instance-Id: i-a\r\n") + LeavingFields)
                                   : plainAnswer(request);
        },
        0 },
    { "a refusal of a probe",
        [](const ScriptedRequest& request) {
            return request.isProbe ? scriptedAnswer(request, 503, std::string("Instance-Id: i-a\r\n") + LeavingFields)
                                   : plainAnswer(request);
        },
        0 },
};

}

TEST_GROUP(LeavingNotices)
{
    std::unique_ptr<asio::io_context> context; // must outlive the objects below
    std::unique_ptr<LoopbackInstance> instance;
    std::unique_ptr<ScriptedServer> leaving; // backend server i-a
    std::unique_ptr<ScriptedServer> other; // backend server i-b

    /** Starts an instance with i-a as its only server, which answers by this script. */
    void begin(const ScriptedServer::Script& script)
    {
        this->instance.reset();
        this->leaving.reset();
        this->other.reset();
        this->context = std::make_unique<asio::io_context>();
        this->instance = std::make_unique<LoopbackInstance>(*this->context);
        this->leaving = std::make_unique<ScriptedServer>(*this->context, script);
        this->other = std::make_unique<ScriptedServer>(*this->context, plainAnswer);
        this->instance->putServer("i-a", this->leaving->address());
    }

    void addOther() const
    {
        this->instance->putServer("i-b", this->other->address());
    }

    void callOften(int times) const
    {
        for (int call = 0; call < times; ++call)
            this->instance->call();
    }
};

TEST(LeavingNotices, ApplyAtOnceFromEachKindOfAnswer)
{
    for (const LeavingCase& item : LeavingCases) {
        this->begin(item.script);
        this->instance->call();
        this->addOther();
        this->callOften(10);
        LONGS_EQUAL_TEXT(item.requests, this->leaving->requests(), item.name);
        CHECK_TEXT(this->other->requests() >= 10, item.name);
    }
}

TEST(LeavingNotices, OfAllServersRefuseRequestsAtOnce)
{
    this->begin(onlyToRequests(announceLeaving));
    LONGS_EQUAL(200, this->instance->call().status);
    const CallerAnswer refused = this->instance->call();
    LONGS_EQUAL(503, refused.status);
    CHECK(!refused.field("Retry-After").empty());
    CHECK(refused.took < MaxTimeToRefuse);
    LONGS_EQUAL(1, this->leaving->requests());
}

TEST(LeavingNotices, OutliveTheRecordAndProbeAnswers)
{
    this->begin(onlyToRequests(announceLeaving));
    this->instance->call();
    this->addOther();
    this->instance->removeServer("i-a");
    this->callOften(2);
    this->instance->putServer("i-a", this->leaving->address());
    this->callOften(10);
    LONGS_EQUAL(1, this->leaving->requests());
}

TEST(LeavingNotices, DoNotApplyToANewLife)
{
    for (const char* next : { "i-a", "i-c" }) {
        this->begin(onlyToRequests(announceLeaving));
        this->instance->putServer("i-a", this->leaving->address(), 1000);
        this->instance->call();
        this->leaving->answerWith(plainAnswer);
        if (next == std::string("i-c"))
            this->instance->removeServer("i-a");
        this->instance->putServer(next, this->leaving->address(), 2000);
        LONGS_EQUAL_TEXT(200, this->instance->call().status, next);
        LONGS_EQUAL_TEXT(2, this->leaving->requests(), next);
    }
}

// An announcement of a server that has taken over the address does not apply to the former server.
TEST(LeavingNotices, OfAnotherServerAtTheAddressAreIgnored)
{
    platform::HeaderDialect dialect;
    for (const unsigned status : { 200U, 421U, 503U }) {
        HttpResponse answer(boost::beast::http::int_to_status(status), 11);
        setField(answer, "Server-Leaving", "1");
        setField(answer, "Instance-Id", "i-other");
        CHECK(dialect.readNotice(answer, "i-a").isEmpty());
        CHECK(dialect.readNotice(answer, "i-other").isLeaving);
    }
}
