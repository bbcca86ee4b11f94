#include "Crashes/RequestDigest.h"

#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr RequestIdentity Usual{
    .host = "roster.example", .method = "GET", .path = "/crews/7", .fields = 7, .body = "text"
};

struct Case {
    const char* name;
    RequestIdentity identity;
    bool isSame;
};

const std::vector<Case> Cases{
    { "the same", Usual, true },
    { "another host", { "hours.example", "GET", "/crews/7", 7, "text" }, false },
    { "another method", { "roster.example", "POST", "/crews/7", 7, "text" }, false },
    { "another path", { "roster.example", "GET", "/crews/8", 7, "text" }, false },
    { "another query", { "roster.example", "GET", "/crews/7?page=2", 7, "text" }, false },
    { "other fields", { "roster.example", "GET", "/crews/7", 8, "text" }, false },
    { "another body", { "roster.example", "GET", "/crews/7", 7, "text2" }, false },
    { "no body", { "roster.example", "GET", "/crews/7", 7, "" }, false },
    { "a byte in another part", { "roster.exampl", "eGET", "/crews/7", 7, "text" }, false },
};

}

TEST_GROUP(RequestDigest){};

TEST(RequestDigest, TellsRequestsApart)
{
    for (const Case& item : Cases)
        CHECK_EQUAL_TEXT(item.isSame, digestOf(item.identity) == digestOf(Usual), item.name);
}

// A large body is received in several blocks.
TEST(RequestDigest, DoesNotDependOnThePartsOfTheBody)
{
    const std::vector<std::string_view> rest{ "e", "", "xt" };
    RequestIdentity identity = Usual;
    identity.body = "t";
    identity.bodyRest = rest;
    CHECK(digestOf(identity) == digestOf(Usual));
}

TEST(RequestDigest, IsTheSameInEveryVersion)
{
    STRCMP_EQUAL("581b6a6c92191ec0cc707f3e607470d9", digestOf(Usual).text().c_str());
    CHECK(digestOf(Usual).isKnown());
    CHECK(!RequestDigest{}.isKnown());
}
