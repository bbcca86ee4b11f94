#include "Http/AnswerQueue.h"

#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

struct Step {
    /**
     * b: a request begins, c: a request begins that asks to close the connection, p: the request is answered, e: the
     * request is answered and the connection is to be closed.
     */
    char what;
    HttpRequestNumber request;
};

/** Steps, and the bodies that are then written, in this order; '|' stands for the end of the connection. */
struct Case {
    const char* name;
    std::vector<Step> steps;
    const char* written;
    bool hasUnanswered;
};

const std::vector<Case> Cases{
    { "one", { { 'b', 1 }, { 'p', 1 } }, "1", false },
    { "in order", { { 'b', 1 }, { 'b', 2 }, { 'p', 1 }, { 'p', 2 } }, "12", false },
    { "the second is ready first", { { 'b', 1 }, { 'b', 2 }, { 'p', 2 }, { 'p', 1 } }, "12", false },
    { "the first is missing", { { 'b', 1 }, { 'b', 2 }, { 'b', 3 }, { 'p', 2 }, { 'p', 3 } }, "", true },
    { "the second is missing", { { 'b', 1 }, { 'b', 2 }, { 'b', 3 }, { 'p', 1 }, { 'p', 3 } }, "1", true },
    { "answered twice", { { 'b', 1 }, { 'p', 1 }, { 'p', 1 } }, "1", false },
    { "never begun", { { 'b', 1 }, { 'p', 2 } }, "", true },
    { "the caller asks to close after the second", { { 'b', 1 }, { 'c', 2 }, { 'p', 2 }, { 'p', 1 } }, "12|", false },
    { "the close waits for the newest", { { 'b', 1 }, { 'b', 2 }, { 'e', 1 }, { 'e', 2 } }, "12|", false },
    { "the close is requested while the newest has its answer", { { 'b', 1 }, { 'b', 2 }, { 'p', 2 }, { 'e', 1 } },
        "12|", false },
    { "no close before an unanswered request", { { 'b', 1 }, { 'b', 2 }, { 'e', 1 } }, "1", true },
};

HttpResponse responseOf(HttpRequestNumber request)
{
    HttpResponse response(boost::beast::http::status::ok, 11);
    setBody(response.body(), "body" + std::to_string(request));
    return response;
}

/** All bytes that are written. */
std::string bytesOf(const ReadyAnswers& ready)
{
    std::string bytes;
    for (const EncodedMessage& message : ready.messages)
        bytes += message.head + (message.body ? textOf(*message.body) : "");
    LONGS_EQUAL(ready.size(), bytes.size());
    return bytes;
}

/** The digits of the bodies, followed by '|' if the connection ends. Checks that Connection: close agrees with that. */
std::string summaryOf(const ReadyAnswers& ready)
{
    std::string summary;
    const std::string bytes = bytesOf(ready);
    for (std::size_t place = bytes.find("body"); place != std::string::npos; place = bytes.find("body", place + 1))
        summary += bytes.at(place + 4);
    const bool saysClose = bytes.find("Connection: close") != std::string::npos;
    CHECK_EQUAL(ready.isLast, saysClose);
    return summary + (ready.isLast ? "|" : "");
}

std::string play(AnswerQueue& order, const std::vector<Step>& steps)
{
    std::string written;
    for (const Step& step : steps) {
        if (step.what == 'b' || step.what == 'c') {
            LONGS_EQUAL(step.request, order.addRequest({ .keepsConnection = step.what == 'b' }));
            CHECK_EQUAL(step.what == 'b', order.mayReadNext());
            continue;
        }
        order.setAnswer(step.request, responseOf(step.request));
        written += summaryOf(order.takeReady(step.what == 'e'));
    }
    return written;
}

}

TEST_GROUP(AnswerQueue){};

TEST(AnswerQueue, TakesAnswersInTheOrderOfTheRequests)
{
    for (const Case& item : Cases) {
        AnswerQueue order;
        STRCMP_EQUAL_TEXT(item.written, play(order, item.steps).c_str(), item.name);
        CHECK_EQUAL_TEXT(item.hasUnanswered, order.hasUnanswered(), item.name);
        CHECK_EQUAL_TEXT(!item.hasUnanswered, order.isEmpty(), item.name);
    }
}

TEST(AnswerQueue, AnAnswerToHeadHasNoBody)
{
    AnswerQueue order;
    order.addRequest({ .isHeadRequest = true });
    CHECK(order.setAnswer(1, responseOf(1)));
    const std::string bytes = bytesOf(order.takeReady(false));
    CHECK(bytes.find("Content-Length: 5") != std::string::npos);
    CHECK(bytes.find("body") == std::string::npos);
}
