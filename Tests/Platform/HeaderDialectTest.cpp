#include "HeaderDialect.h"

#include <string>
#include <utility>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

namespace http = boost::beast::http;

using Fields = std::vector<std::pair<const char*, const char*>>;

struct Case {
    const char* name;
    unsigned status;
    Fields fields;
    AttemptResult result;
    bool isPromise;
};

const Fields Whole{ { "Request-Id", "r" }, { "Server-Signature", "s" } };

const std::vector<Case> Cases{
    { "a success", 200, Whole, AttemptResult::Answered, false },
    { "a success without signature", 200, { { "Request-Id", "r" } }, AttemptResult::Broken, false },
    { "a success without id", 200, { { "Server-Signature", "s" } }, AttemptResult::Broken, false },
    { "an encoded success", 200, { { "Request-Id", "r" }, { "Server-Signature", "s" }, { "Content-Encoding", "gzip" } },
        AttemptResult::Broken, false },
    { "a success with a status without a name", 299, Whole, AttemptResult::Answered, false },
    { "a success with a status without a name, without signature", 299, { { "Request-Id", "r" } },
        AttemptResult::Broken, false },
    { "503 with proof", 503, { { "Request-Id", "r" }, { "Not-Executed", "1" } }, AttemptResult::RefusedNotRun, false },
    { "429 with proof", 429, { { "Request-Id", "r" }, { "Not-Executed", "1" } }, AttemptResult::RefusedNotRun, false },
    { "421 of another server", 421, { { "Request-Id", "r" }, { "Instance-Id", "i-other" } }, AttemptResult::OtherServer,
        false },
    { "421 of the same server", 421, { { "Request-Id", "r" }, { "Instance-Id", "i-1" } }, AttemptResult::RefusedNotRun,
        false },
    { "503 with proof, without id", 503, { { "Not-Executed", "1" } }, AttemptResult::Broken, false },
    { "421 without id", 421, { { "Instance-Id", "i-other" } }, AttemptResult::Broken, false },
    { "404 without id", 404, { { "Server-Signature", "s" } }, AttemptResult::Broken, false },
    { "500 without id", 500, {}, AttemptResult::Broken, false },
    { "503 without proof", 503, Whole, AttemptResult::ErrorAnswer, true },
    { "429 without proof", 429, Whole, AttemptResult::ErrorAnswer, true },
    { "408 without proof", 408, Whole, AttemptResult::ErrorAnswer, true },
    { "500 of the server", 500, Whole, AttemptResult::ErrorAnswer, false },
    { "504 of the server", 504, Whole, AttemptResult::ErrorAnswer, false },
    { "404 of the server", 404, Whole, AttemptResult::Answered, false },
};

/** An answer and the request to which it is held against; probes have no id. */
struct MatchCase {
    const char* name;
    const char* id;
    unsigned status;
    Fields fields;
    AnswerMatch match;
};

const std::vector<MatchCase> MatchCases{
    { "own success", "r", 200, Whole, AnswerMatch::Own },
    { "own refusal", "r", 503, { { "Request-Id", "r" }, { "Not-Executed", "1" } }, AnswerMatch::Own },
    { "success of another request", "r", 200, { { "Request-Id", "q" }, { "Server-Signature", "s" } },
        AnswerMatch::OtherRequest },
    { "refusal of another request", "r", 503, { { "Request-Id", "q" } }, AnswerMatch::OtherRequest },
    { "success without a signature", "r", 200, { { "Request-Id", "r" } }, AnswerMatch::NoAnswer },
    { "refusal without an id", "r", 503, { { "Not-Executed", "1" } }, AnswerMatch::NoAnswer },
    { "answer to a probe", "r", 200, { { "Instance-Id", "i-1" } }, AnswerMatch::NoAnswer },
    { "answer to a probe, for a probe", "", 200, { { "Instance-Id", "i-1" } }, AnswerMatch::Own },
    { "refusal of a probe, for a probe", "", 503, { { "Not-Executed", "1" } }, AnswerMatch::Own },
    { "answer to a request, for a probe", "", 200, Whole, AnswerMatch::OtherRequest },
};

/** An answer and the notice that is read from it. */
struct NoticeCase {
    const char* name;
    unsigned status;
    Fields fields;
    bool isLeaving;
    double pause; // milliseconds
};

const std::vector<NoticeCase> NoticeCases{
    { "no notice", 200, Whole, false, 0 },
    { "leaving", 200, { { "Server-Leaving", "1" } }, true, 0 },
    { "leaving, in an error", 500, { { "server-leaving", "1" } }, true, 0 },
    { "not leaving", 200, { { "Server-Leaving", "0" } }, false, 0 },
    { "an invalid value", 200, { { "Server-Leaving", "perhaps" } }, false, 0 },
    { "a pause with a refusal", 503, { { "Not-Executed", "1" }, { "Retry-After", "0.5" } }, false, 500 },
    { "a pause with an unproved refusal", 503, { { "Retry-After", "2" } }, false, 2000 },
    { "leaving and a pause", 503, { { "Server-Leaving", "1" }, { "Retry-After", "2" } }, true, 2000 },
    { "Retry-After with 429", 429, { { "Not-Executed", "1" }, { "Retry-After", "2" } }, false, 0 },
    { "Retry-After with a success", 200, { { "Retry-After", "2" } }, false, 0 },
    { "leaving, from another server", 421, { { "Instance-Id", "i-2" }, { "Server-Leaving", "1" } }, false, 0 },
    { "421 without a server id", 421, { { "Server-Leaving", "1" } }, false, 0 },
    { "421 of the same server", 421, { { "Instance-Id", "i-1" }, { "Server-Leaving", "1" } }, true, 0 },
    { "a pause, from another server", 503, { { "Instance-Id", "i-2" }, { "Retry-After", "2" } }, false, 0 },
};

struct RefusalCase {
    RefusalReason reason;
    RefusedOutcome outcome;
    unsigned status;
    bool hasRetryAfter;
};

const std::vector<RefusalCase> RefusalCases{
    { RefusalReason::NoRoute, RefusedOutcome::NotRun, 404, false },
    { RefusalReason::NotReady, RefusedOutcome::NotRun, 503, true },
    { RefusalReason::WaitedTooLong, RefusedOutcome::NotRun, 503, true },
    { RefusalReason::BackendServersRefused, RefusedOutcome::NotRun, 503, true },
    { RefusalReason::AnswerBroken, RefusedOutcome::Unknown, 502, true },
    { RefusalReason::BackendServersRefused, RefusedOutcome::Unknown, 502, true },
    { RefusalReason::DeadlinePassedSending, RefusedOutcome::Unknown, 504, true },
    { RefusalReason::DeadlinePassedSending, RefusedOutcome::NotRun, 503, true },
    { RefusalReason::DeadlinePassedWaiting, RefusedOutcome::NotRun, 503, true },
};

HttpResponse response(unsigned status, const Fields& fields)
{
    HttpResponse made(http::status::ok, 11);
    made.result(status);
    for (const auto& [name, value] : fields)
        setField(made, name, value);
    return made;
}

}

TEST_GROUP(HeaderDialect)
{
    platform::HeaderDialect dialect;
};

TEST(HeaderDialect, ReadsTheResultOfAnAnswer)
{
    for (const Case& item : Cases) {
        const AttemptEnd end = this->dialect.readAnswer(response(item.status, item.fields), "i-1");
        CHECK_TEXT(end.result == item.result, item.name);
        CHECK_TEXT(end.claimsNotRun == item.isPromise, item.name);
    }
}

TEST(HeaderDialect, ReadsNotices)
{
    for (const NoticeCase& item : NoticeCases) {
        const ServerNotice notice = this->dialect.readNotice(response(item.status, item.fields), "i-1");
        CHECK_EQUAL_TEXT(item.isLeaving, notice.isLeaving, item.name);
        DOUBLES_EQUAL_TEXT(item.pause, notice.pause.count, 0.01, item.name);
        CHECK_EQUAL_TEXT(!item.isLeaving && item.pause == 0, notice.isEmpty(), item.name);
    }
}

// The fields that the platform's documents define beyond HTTP; see docs/design/platform-fields.md.
TEST(HeaderDialect, KnowsEachFieldOfAnswers)
{
    for (const char* field : { "Request-Id", "Server-Signature", "Not-Executed", "Instance-Id", "Instance-Load",
             "Cold-Ms", "Server-Leaving" })
        CHECK_TEXT(this->dialect.isKnownAnswerField(field), field);
    CHECK_FALSE(this->dialect.isKnownAnswerField("Server-Mood"));
}

TEST(HeaderDialect, PromisesNotRunOnlyIfProved)
{
    for (const RefusalCase& item : RefusalCases) {
        const RefuseRequest refusal{
            .request = 1, .outcome = item.outcome, .reason = item.reason, .retryAfter = { 250 }
        };
        const HttpResponse answer = this->dialect.makeRefusal(refusal, "r-1");
        LONGS_EQUAL(item.status, answer.result_int());
        CHECK(valueOf(answer, "Request-Id") == "r-1");
        CHECK(valueOf(answer, "Server-Signature").empty());
        CHECK(valueOf(answer, "Retry-After") == (item.hasRetryAfter ? "0.250" : ""));
    }
}

TEST(HeaderDialect, DetectsAnswersToOtherRequests)
{
    for (const MatchCase& item : MatchCases)
        CHECK_TEXT(this->dialect.matchAnswer(response(item.status, item.fields), item.id) == item.match, item.name);
}

TEST(HeaderDialect, ReadsReportedLoad)
{
    const AttemptEnd end = this->dialect.readAnswer(response(200, { { "Instance-Load", "2,1,3,480" } }), "i-1");
    LONGS_EQUAL(2, end.load->running);
    LONGS_EQUAL(1, end.load->waiting);
    LONGS_EQUAL(3, end.load->slots);
    LONGS_EQUAL(480, end.load->workPercent);
    const AttemptEnd three = this->dialect.readAnswer(response(200, { { "Instance-Load", "2, 1, 3" } }), "i-1");
    LONGS_EQUAL(100, three.load->workPercent);
    CHECK_FALSE(this->dialect.readAnswer(response(200, { { "Instance-Load", "many" } }), "i-1").load.has_value());
}

TEST(HeaderDialect, IgnoresTheLoadThatAnotherServerReports)
{
    const ProbeEnd own
        = this->dialect.readProbe(response(200, { { "Instance-Id", "i-1" }, { "Instance-Load", "0,0,3,100" } }), "i-1");
    CHECK(own.isAnswered && !own.isOtherServer && own.load);
    const ProbeEnd other
        = this->dialect.readProbe(response(200, { { "Instance-Id", "i-2" }, { "Instance-Load", "0,0,3,100" } }), "i-1");
    CHECK(other.isOtherServer && !other.load);
}

TEST(HeaderDialect, ForwardsTheTimeLeft)
{
    HttpRequest request(http::verb::get, "/", 11);
    setField(request, "Request-Id", "r");
    setField(request, "Deadline-Ms", "800");
    DOUBLES_EQUAL(800, this->dialect.readCaller(request).timeLeft->count, 0);
    this->dialect.writeAttempt(request, { .backendServer = "i-1", .timeLeft = { 412.7 } });
    CHECK(valueOf(request, "Deadline-Ms") == "412");
    CHECK(valueOf(request, "Expected-Instance") == "i-1");
    CHECK(valueOf(request, "Request-Id") == "r");
    CHECK_FALSE(this->dialect.readCaller(HttpRequest(http::verb::get, "/", 11)).isValid);
}
