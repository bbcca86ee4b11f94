#include "Traffic/StableFields.h"
#include "HeaderDialect.h"
#include "Traffic/NativeTrafficDialect.h"

#include <string>
#include <utility>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

namespace http = boost::beast::http;

using Fields = std::vector<std::pair<std::string, std::string>>;

const Fields Usual{ { "Host", "a.example" }, { "User-Agent", "app/1" }, { "Authorization", "Bearer x" } };

/** Header fields, and whether the request with them counts as a repetition of the usual one. */
struct Case {
    const char* name;
    Fields fields;
    bool isSame;
};

const std::vector<Case> Cases{
    { "the same", Usual, true },
    { "another order", { { "Authorization", "Bearer x" }, { "User-Agent", "app/1" }, { "Host", "a.example" } }, true },
    { "names in upper and lower case", { { "user-agent", "app/1" }, { "AUTHORIZATION", "Bearer x" } }, true },
    { "another caller", { { "User-Agent", "app/1" }, { "Authorization", "Bearer y" } }, false },
    { "no caller", { { "User-Agent", "app/1" } }, false },
    { "values exchanged between fields", { { "User-Agent", "Bearer x" }, { "Authorization", "app/1" } }, false },
    { "with hop-by-hop fields",
        { { "User-Agent", "app/1" }, { "Authorization", "Bearer x" }, { "Connection", "close" },
            { "Keep-Alive", "timeout=5" }, { "Content-Length", "0" } },
        true },
    { "with fields of one attempt",
        { { "User-Agent", "app/1" }, { "Authorization", "Bearer x" }, { "Traceparent", "00-1-2-01" },
            { "Date", "now" } },
        true },
};

HttpRequest requestWith(const Fields& fields)
{
    HttpRequest request(http::verb::get, "/", 11);
    for (const auto& [name, value] : fields)
        request.insert(name, value);
    return request;
}

}

TEST_GROUP(StableFields){};

TEST(StableFields, AreTheSameForARepeatedRequest)
{
    const NativeTrafficDialect dialect;
    const std::uint64_t usual = hashStableFields(requestWith(Usual), dialect);
    for (const Case& item : Cases)
        CHECK_EQUAL_TEXT(item.isSame, usual == hashStableFields(requestWith(item.fields), dialect), item.name);
}

TEST(StableFields, ExcludeIdsAndDeadlinesOfEachDialect)
{
    const NativeTrafficDialect own;
    const platform::HeaderDialect users;
    const std::uint64_t usual = hashStableFields(requestWith(Usual), own);
    for (const char* name : { "Burlreach-Request-Id", "Burlreach-Deadline-Milliseconds" }) {
        HttpRequest request = requestWith(Usual);
        request.insert(name, "1");
        CHECK_TEXT(usual == hashStableFields(request, own), name);
    }
    for (const char* name : { "Request-Id", "Deadline-Ms" }) {
        HttpRequest request = requestWith(Usual);
        request.insert(name, "1");
        CHECK_TEXT(usual == hashStableFields(request, users), name);
    }
}
