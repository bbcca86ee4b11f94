// Guards requests that must run at most once against surplus answers, which arrive late where the next answer on a
// connection is due. A second copy of a server's refusal was taken for the answer to the next try of the same request
// on the same connection, so that the request was sent once more while the server ran it.

#include "Tests/Platform/LoopbackInstance.h"
#include "Tests/Platform/ScriptedServer.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

/** Served requests before, which earn the budget for retries. */
constexpr int EarlierRequests = 30;
constexpr int TestedRequests = 5;

std::string refusal(const ScriptedRequest& request)
{
    return scriptedAnswer(request, 503, "Not-Executed: 1\r\n");
}

std::string success(const ScriptedRequest& request)
{
    return scriptedAnswer(request, 200, "Instance-Id: i-a\r\nInstance-Load: 0,0,3,100\r\n");
}

/** What a server sends late, where the next answer on a connection is due. */
struct Case {
    const char* name;
    unsigned refusals; // of a request before it runs
    bool isAnswer; // the surplus answer is one to a request; otherwise the outcome of the next request stays unknown
    std::string fields; // of the surplus answer; "(id)" stands for the id of the last request on the connection
};

const std::vector<Case> Cases{
    { "a second copy of a refusal", 1, true, "Request-Id: (id)\r\nNot-Executed: 1\r\n" },
    { "second copies of two refusals", 2, true, "Request-Id: (id)\r\nNot-Executed: 1\r\n" },
    { "a copy of a health check's refusal", 1, false, "Not-Executed: 1\r\n" },
};

/** A server that refuses requests at first, counts the runs of each, and sends one surplus answer per connection. */
class SurplusServer {
public:
    explicit SurplusServer(Case givenItem)
        : item(std::move(givenItem))
    {
    }

    std::string answer(const ScriptedRequest& request)
    {
        if (request.isProbe)
            return success(request);
        const std::string id(request.field("Request-Id"));
        std::string& late = this->lateAnswers[request.connection];
        const std::string before = std::exchange(late, {});
        if (this->isFull && this->refused[id]++ < this->item.refusals) {
            late = this->surplus(id);
            return before + refusal(request);
        }
        ++this->runs[id];
        return before + success(request);
    }

    /** From now on requests are refused at first. */
    void becomeFull() { this->isFull = true; }

    std::map<std::string, unsigned> runs; // by request id

private:
    std::string surplus(const std::string& id) const
    {
        constexpr std::string_view mark = "(id)";
        std::string fields = this->item.fields;
        if (const std::size_t place = fields.find(mark); place != std::string::npos)
            fields.replace(place, mark.size(), id);
        return "HTTP/1.1 503 x\r\nContent-Length: 4\r\n" + fields + "\r\nfull";
    }

    Case item;
    bool isFull = false;
    std::map<std::string, unsigned> refused;
    std::map<std::size_t, std::string> lateAnswers; // by connection
};

}

TEST_GROUP(SurplusAnswers){};

TEST(SurplusAnswers, AreNotTakenForTheAnswerToAFurtherTry)
{
    for (const Case& item : Cases) {
        asio::io_context context;
        LoopbackInstance instance(context);
        SurplusServer script(item);
        ScriptedServer server(context, [&script](const ScriptedRequest& request) { return script.answer(request); });
        instance.putServer("i-a", server.address());
        std::size_t served = 0;
        std::size_t unknown = 0;
        for (int request = 0; request < EarlierRequests + TestedRequests; ++request) {
            if (request == EarlierRequests)
                script.becomeFull();
            const CallerAnswer answer = instance.callRunOnce();
            served += answer.status == 200 ? 1 : 0;
            const bool isUnknown = answer.status == 502;
            CHECK_TEXT(answer.status == 200 || answer.status == 503 || (isUnknown && !item.isAnswer), item.name);
            unknown += isUnknown ? 1 : 0;
        }
        CHECK_TEXT(served > EarlierRequests, item.name);
        for (const auto& [id, count] : script.runs)
            LONGS_EQUAL_TEXT(1, count, item.name);
        CHECK_TEXT(served <= script.runs.size() && script.runs.size() <= served + unknown, item.name);
    }
}
