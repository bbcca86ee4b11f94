#include "KvStoreProtocol.h"

#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

namespace http = boost::beast::http;

struct Case {
    const char* name;
    StoreOperation operation;
    unsigned status;
    const char* body;
    StoreStatus outcome;
    std::size_t items;
    StoreRevision at;
};

constexpr StoreOperation Range = StoreOperation::ReadRange;
constexpr StoreOperation Watch = StoreOperation::Watch;
constexpr StoreOperation Write = StoreOperation::Write;

const std::vector<Case> Cases{
    { "a range", Range, 200,
        R"({"items":[{"key":"a","value":"eA==","revision":4,"made":1,"lease":0}],"more":true,"at":9})",
        StoreStatus::Done, 1, 9 },
    { "an empty range", Range, 200, R"({"items":[],"more":false,"at":9})", StoreStatus::Done, 0, 9 },
    { "events", Watch, 200,
        R"({"events":[{"key":"a","value":"eA==","revision":4},{"key":"b","revision":5,"gone":true}],"at":5})",
        StoreStatus::Done, 2, 5 },
    { "a watch without events", Watch, 200, R"({"events":[],"at":5})", StoreStatus::Done, 0, 5 },
    { "lost history", Watch, 410, "", StoreStatus::HistoryLost, 0, 0 },
    { "a write", Write, 200, R"({"revision":12})", StoreStatus::Done, 0, 12 },
    { "a condition that did not hold", Write, 412, R"({"items":[]})", StoreStatus::Conflict, 0, 0 },
    { "store unavailable", Range, 503, "", StoreStatus::Refused, 0, 0 },
    { "too many calls", Watch, 429, "", StoreStatus::Refused, 0, 0 },
    { "an error", Write, 500, "", StoreStatus::Unknown, 0, 0 },
    { "invalid JSON", Range, 200, "<html>", StoreStatus::Unknown, 0, 0 },
    { "no revision", Range, 200, R"({"items":[]})", StoreStatus::Unknown, 0, 0 },
    { "no list", Watch, 200, R"({"at":5})", StoreStatus::Unknown, 0, 5 },
    { "an invalid item", Range, 200, R"({"items":[{"key":"a"}],"at":9})", StoreStatus::Unknown, 0, 9 },
    { "a value that is not base64", Range, 200, R"({"items":[{"key":"a","value":"*","revision":4}],"at":9})",
        StoreStatus::Unknown, 0, 9 },
};

}

TEST_GROUP(KvStoreProtocol)
{
    platform::KvStoreProtocol wire;
};

TEST(KvStoreProtocol, ReadsEveryOutcome)
{
    for (const Case& item : Cases) {
        StoreRequest request;
        request.number = 3;
        request.operation = item.operation;
        HttpResponse response(http::int_to_status(item.status), 11);
        setBody(response.body(), item.body);
        const StoreAnswer answer = this->wire.decode(request, response);
        LONGS_EQUAL(3, answer.number);
        CHECK_TEXT(answer.status == item.outcome, item.name);
        if (item.outcome != StoreStatus::Done)
            continue;
        LONGS_EQUAL_TEXT(item.items, answer.items.size(), item.name);
        LONGS_EQUAL_TEXT(item.at, answer.at, item.name);
    }
}

TEST(KvStoreProtocol, DecodesValuesAndRemovals)
{
    StoreRequest request;
    request.operation = Watch;
    HttpResponse response(http::status::ok, 11);
    setBody(response.body(), Cases[2].body);
    const StoreAnswer answer = this->wire.decode(request, response);
    STRCMP_EQUAL("x", answer.items[0].value.c_str());
    CHECK(answer.items[1].removed);
}

TEST(KvStoreProtocol, EncodesCalls)
{
    StoreRequest watch;
    watch.operation = Watch;
    watch.key = "a b/";
    watch.after = 17;
    watch.wait = { 1200 };
    const HttpRequest call = this->wire.encode(watch);
    STRCMP_EQUAL("/kv-watch?path_prefix=a%20b/&after=17&wait_ms=1200", std::string(call.target()).c_str());
    StoreRequest write;
    write.operation = Write;
    write.key = "k";
    write.value = "x";
    write.expected = 4;
    STRCMP_EQUAL(R"({"expected_revision":[{"key":"k","revision":4}],"put":[{"key":"k","value":"eA=="}],"remove":[]})",
        textOf(this->wire.encode(write).body()).c_str());
}
