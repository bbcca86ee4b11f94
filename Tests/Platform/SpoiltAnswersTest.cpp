// Guards what callers get when a backend server sends bytes that are no answer of its own. A success with a status that
// the HTTP library has no name for (299) passed as an answer without the server's signature, and an interim answer
// without a name (103) was passed on as the final one, while the real answer was dropped.

#include "Tests/Platform/LoopbackInstance.h"
#include "Tests/Platform/ScriptedServer.h"

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

std::string freeAnswer(const ScriptedRequest& request)
{
    return scriptedAnswer(request, 200, "Instance-Id: i-a\r\nInstance-Load: 0,0,3,100\r\n");
}

/** Sound answers before, which earn the budget for a retry. */
constexpr int EarlierRequests = 20;
constexpr std::string_view IdMark = "(id)";

/** Bytes that a server sends in place of an answer, or before its answer; "(id)" stands for the id of the request. */
struct Case {
    const char* name;
    std::string bytes;
    bool isFollowedByAnswer; // the server's own answer comes behind them
};

/** A whole answer with a wrong body and these further header lines. */
std::string wrongBytes(const std::string& status, const std::string& fields = {})
{
    return "HTTP/1.1 " + status + " x\r\nContent-Length: 5\r\n" + fields + "\r\nwrong";
}

const std::vector<Case> Cases{
    { "200 without a signature", wrongBytes("200"), false },
    { "299, which has no name", wrongBytes("299"), false },
    { "250, which has no name", wrongBytes("250"), false },
    { "218, which has no name", wrongBytes("218"), false },
    { "210, which has no name", wrongBytes("210"), false },
    { "299 with the request's id only", wrongBytes("299", "Request-Id: (id)\r\n"), false },
    { "404 without an id", wrongBytes("404", "Server-Signature: s\r\n"), false },
    { "500 without an id", wrongBytes("500"), false },
    { "503 with proof but without an id", wrongBytes("503", "Not-Executed: 1\r\n"), false },
    { "a class that does not exist", wrongBytes("700"), false },
    { "a status below all classes", wrongBytes("099"), false },
    { "a change of protocol that nobody asked for", "HTTP/1.1 101 x\r\nUpgrade: y\r\n\r\nwrong", false },
    { "an interim answer without a name", "HTTP/1.1 103 x\r\nLink: </a>\r\n\r\n", true },
    { "several interim answers", "HTTP/1.1 100 x\r\n\r\nHTTP/1.1 103 x\r\n\r\nHTTP/1.1 150 x\r\n\r\n", true },
};

}

TEST_GROUP(SpoiltAnswers)
{
    std::unique_ptr<asio::io_context> context; // must outlive the objects below
    std::unique_ptr<LoopbackInstance> instance;
    std::unique_ptr<ScriptedServer> server; // backend server i-a
    std::unique_ptr<ScriptedServer> other; // backend server i-b, which is sound and reports more load

    /**
     * Starts an instance with one server, whose next answer to a request is made of these bytes. The other server comes
     * when this request has arrived, so that the request goes to the first one, however long all that takes.
     */
    void begin(const Case& item)
    {
        this->instance.reset();
        this->server.reset();
        this->other.reset();
        this->context = std::make_unique<asio::io_context>();
        this->instance = std::make_unique<LoopbackInstance>(*this->context);
        this->server = std::make_unique<ScriptedServer>(
            *this->context, [this, item, left = EarlierRequests](const ScriptedRequest& request) mutable {
                if (request.isProbe || left-- != 0)
                    return freeAnswer(request);
                this->instance->putServer("i-b", this->other->address());
                std::string bytes = item.bytes;
                const std::size_t mark = bytes.find(IdMark);
                if (mark != std::string::npos)
                    bytes.replace(mark, IdMark.size(), request.field("Request-Id"));
                return item.isFollowedByAnswer ? bytes + freeAnswer(request) : bytes;
            });
        this->other = std::make_unique<ScriptedServer>(*this->context, [](const ScriptedRequest& request) {
            return scriptedAnswer(request, 200, "Instance-Id: i-b\r\nInstance-Load: 1,0,3,150\r\n");
        });
        this->instance->putServer("i-a", this->server->address());
        for (int request = 0; request < EarlierRequests; ++request)
            this->instance->call();
    }
};

TEST(SpoiltAnswers, DoNotReachCallersOfRepeatableRequests)
{
    for (const Case& item : Cases) {
        this->begin(item);
        const CallerAnswer answer = this->instance->call();
        LONGS_EQUAL_TEXT(200, answer.status, item.name);
        CHECK_TEXT(answer.text.ends_with("ok"), item.name);
        LONGS_EQUAL_TEXT(EarlierRequests + 1, this->server->requests(), item.name);
        LONGS_EQUAL_TEXT(item.isFollowedByAnswer ? 0 : 1, this->other->requests(), item.name);
    }
}

TEST(SpoiltAnswers, LeaveTheOutcomeOfRunOnceRequestsOpen)
{
    for (const Case& item : Cases) {
        this->begin(item);
        const CallerAnswer answer = this->instance->callRunOnce();
        LONGS_EQUAL_TEXT(item.isFollowedByAnswer ? 200 : 502, answer.status, item.name);
        LONGS_EQUAL_TEXT(EarlierRequests + 1, this->server->requests(), item.name);
        LONGS_EQUAL_TEXT(0, this->other->requests(), item.name);
    }
}

// A status without a name is an answer like others if the server signed it.
TEST(SpoiltAnswers, AreToldApartFromSignedOnesWithoutAName)
{
    for (const unsigned status : { 210U, 299U, 399U, 499U }) {
        this->begin({ .name = "", .bytes = "", .isFollowedByAnswer = true });
        const auto signedAnswer = [status](const ScriptedRequest& request) {
            return scriptedAnswer(request, request.isProbe ? 200 : status, "");
        };
        this->server->answerWith(signedAnswer);
        this->other->answerWith(signedAnswer);
        LONGS_EQUAL(status, this->instance->call().status);
    }
}
