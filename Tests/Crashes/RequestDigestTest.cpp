#include "Crashes/RequestDigest.h"

#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr RequestIdentity Usual{
    .host = "roster.example", .method = "GET", .path = "/crews/7", .caller = "10.0.0.7", .body = "text"
};

struct Case {
    const char* name;
    RequestIdentity identity;
    bool isSame;
};

const std::vector<Case> Cases{
    { "the same", Usual, true },
    { "another host", { "hours.example", "GET", "/crews/7", "10.0.0.7", "text" }, false },
    { "another method", { "roster.example", "POST", "/crews/7", "10.0.0.7", "text" }, false },
    { "another path", { "roster.example", "GET", "/crews/8", "10.0.0.7", "text" }, false },
    { "another query", { "roster.example", "GET", "/crews/7?page=2", "10.0.0.7", "text" }, false },
    { "another caller", { "roster.example", "GET", "/crews/7", "10.0.0.8", "text" }, false },
    { "another body", { "roster.example", "GET", "/crews/7", "10.0.0.7", "text2" }, false },
    { "no body", { "roster.example", "GET", "/crews/7", "10.0.0.7", "" }, false },
    { "a byte in another part", { "roster.example", "GET", "/crews/71", "0.0.0.7", "text" }, false },
};

}

TEST_GROUP(RequestDigest){};

TEST(RequestDigest, TellsRequestsApart)
{
    for (const Case& item : Cases)
        CHECK_EQUAL_TEXT(item.isSame, digestOf(item.identity) == digestOf(Usual), item.name);
}

TEST(RequestDigest, IsTheSameInEveryVersion)
{
    STRCMP_EQUAL("f6ae18356ade125e857a6f1dc99a15ce", digestOf(Usual).text().c_str());
    CHECK(digestOf(Usual).isKnown());
    CHECK(!RequestDigest{}.isKnown());
}
