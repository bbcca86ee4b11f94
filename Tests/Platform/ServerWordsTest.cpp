// Seen: a backend server that was about to end said so in all its answers, and
// for 14 s went on getting as many requests as before, from all instances; two
// of them sent it requests 3.9 s after they had passed such an answer on.
// How it came about: the store was away, so its record could not say it, and
// the answers were the only sign. Cause: the platform's header dialect read no
// such field; what the decisions knew to do with it was never reached.
// Proof: with the field, 10 of the next 10 requests went to the server, and no
// line named it; requests reached it 6 ms after their callers had sent them, so
// none had been chosen before.

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

/** The better choice by its figures, so that only its word keeps requests away. */
constexpr const char* Leaving = "Server-Leaving: 1\r\nInstance-Load: 0,0,3,100\r\n";
constexpr const char* Refused = "Not-Executed: 1\r\n";
/** A request that cannot be served is refused within this: one that waits does so for 330 ms, 0.22 of the target. */
constexpr Milliseconds AtOnce{ 150 };

std::string plainAnswer(const ScriptedRequest& request)
{
    return scriptedAnswer(request, 200, "Instance-Load: 1,0,3,150\r\n");
}

/** An answer whose body breaks off. */
std::string brokenAnswer(const std::string& fields)
{
    return "HTTP/1.1 200 x\r\nContent-Length: 99\r\nServer-Signature: s\r\n" + fields + "\r\nok(close)";
}

/** Says nothing in answers to probes, by whose figures it is the better choice; the first word comes with a request. */
ScriptedServer::Script toRequests(const ScriptedServer::Script& script)
{
    return [script](const ScriptedRequest& request) {
        return request.isProbe ? scriptedAnswer(request, 200, "Instance-Id: i-a\r\nInstance-Load: 0,0,3,100\r\n")
                               : script(request);
    };
}

std::string sayLeaving(const ScriptedRequest& request)
{
    return scriptedAnswer(request, 200, Leaving);
}

/** An answer in which the word of leaving comes. */
struct LeavingCase {
    const char* name;
    ScriptedServer::Script script;
    std::size_t requests; // that the server gets in all, its first one included
};

const std::vector<LeavingCase> LeavingCases{
    { "a success", toRequests(sayLeaving), 1 },
    { "an error of its own",
        toRequests([](const ScriptedRequest& request) { return scriptedAnswer(request, 500, Leaving); }), 1 },
    { "a refusal", toRequests([](const ScriptedRequest& request) {
         return scriptedAnswer(request, 503, std::string(Refused) + Leaving);
     }),
        1 },
    { "an answer that breaks off", toRequests([](const ScriptedRequest&) { return brokenAnswer(Leaving); }), 1 },
    { "an answer to another request, late", toRequests([](const ScriptedRequest& request) {
         const std::string late = "HTTP/1.1 200 x\r\nContent-Length: 2\r\nServer-Signature: s\r\nRequest-Id: other\r\n";
         return late + Leaving + "\r\nok" + plainAnswer(request);
     }),
        1 },
    { "a health answer that says it is well",
        [](const ScriptedRequest& request) {
            return request.isProbe ? scriptedAnswer(request, 200, std::string("Instance-Id: i-a\r\n") + Leaving)
                                   : plainAnswer(request);
        },
        0 },
    { "a health answer that says it is not",
        [](const ScriptedRequest& request) {
            return request.isProbe ? scriptedAnswer(request, 503, std::string("Instance-Id: i-a\r\n") + Leaving)
                                   : plainAnswer(request);
        },
        0 },
};

}

TEST_GROUP(ServerWords)
{
    std::unique_ptr<asio::io_context> context; // outlives what uses it
    std::unique_ptr<LoopbackInstance> instance;
    std::unique_ptr<ScriptedServer> wordy; // i-a
    std::unique_ptr<ScriptedServer> plain; // i-b

    /** With i-a alone, which answers like this. */
    void begin(const ScriptedServer::Script& script)
    {
        this->instance.reset();
        this->wordy.reset();
        this->plain.reset();
        this->context = std::make_unique<asio::io_context>();
        this->instance = std::make_unique<LoopbackInstance>(*this->context);
        this->wordy = std::make_unique<ScriptedServer>(*this->context, script);
        this->plain = std::make_unique<ScriptedServer>(*this->context, plainAnswer);
        this->instance->putServer("i-a", this->wordy->address());
    }

    void addPlain() const
    {
        this->instance->putServer("i-b", this->plain->address());
    }

    void callOften(int times) const
    {
        for (int call = 0; call < times; ++call)
            this->instance->call();
    }
};

TEST(ServerWords, TheWordOfLeavingHoldsAtOnceInWhateverAnswerItCame)
{
    for (const LeavingCase& item : LeavingCases) {
        this->begin(item.script);
        this->instance->call();
        this->addPlain();
        this->callOften(10);
        LONGS_EQUAL_TEXT(item.requests, this->wordy->requests(), item.name);
        CHECK_TEXT(this->plain->requests() >= 10, item.name);
    }
}

TEST(ServerWords, WhenAllAreLeavingARequestIsRefusedAtOnce)
{
    this->begin(toRequests(sayLeaving));
    LONGS_EQUAL(200, this->instance->call().status);
    const CallerAnswer refused = this->instance->call();
    LONGS_EQUAL(503, refused.status);
    CHECK(!refused.field("Retry-After").empty());
    CHECK(refused.took < AtOnce);
    LONGS_EQUAL(1, this->wordy->requests());
}

TEST(ServerWords, TheWordOfLeavingOutlivesTheRecordAndAHealthAnswer)
{
    this->begin(toRequests(sayLeaving));
    this->instance->call();
    this->addPlain();
    this->instance->removeServer("i-a");
    this->callOften(2);
    this->instance->putServer("i-a", this->wordy->address());
    this->callOften(10);
    LONGS_EQUAL(1, this->wordy->requests());
}

TEST(ServerWords, ANewLifeDoesNotInheritTheWordOfLeaving)
{
    for (const char* next : { "i-a", "i-c" }) {
        this->begin(toRequests(sayLeaving));
        this->instance->putServer("i-a", this->wordy->address(), 1000);
        this->instance->call();
        this->wordy->answerWith(plainAnswer);
        if (next == std::string("i-c"))
            this->instance->removeServer("i-a");
        this->instance->putServer(next, this->wordy->address(), 2000);
        LONGS_EQUAL_TEXT(200, this->instance->call().status, next);
        LONGS_EQUAL_TEXT(2, this->wordy->requests(), next);
    }
}

// Whoever else has the address now speaks for itself.
TEST(ServerWords, TheWordOfAnotherServerAtTheAddressSaysNothingOfThisOne)
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
