#include "Routing/RouteTable.h"
#include "Routing/WeightedRoundRobin.h"

#include <map>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

Route route(const char* name, const char* host, const char* method, const char* prefix)
{
    Route made;
    made.name = name;
    made.host = host;
    made.method = method;
    made.pathPrefix = prefix;
    made.services.push_back({ .service = "s", .weight = 1 });
    return made;
}

struct Case {
    const char* host;
    const char* method;
    const char* path;
    const char* route; // null: none
};

const std::vector<Case> Cases{
    { "a.example", "GET", "/x/y", "x" },
    { "a.example", "GET", "/x/y/z", "x-y" },
    { "a.example", "GET", "/x/y/z?to=/x/q/", "x-y" },
    { "a.example", "POST", "/x/y/z", "x-y-post" },
    { "a.example:8080", "GET", "/x/1", "x" },
    { "a.example", "GET", "/x", nullptr },
    { "a.example", "GET", "/other/x/", nullptr },
    { "b.example", "GET", "/x/1", nullptr },
    { "", "GET", "/x/1", nullptr },
};

}

TEST_GROUP(RouteTable){};

TEST(RouteTable, TheLongestPrefixWinsThenTheNamedMethod)
{
    RoutingConfiguration configuration;
    configuration.routes = { route("x", "a.example", "", "/x/"), route("x-y", "a.example", "", "/x/y/"),
        route("x-y-post", "a.example", "POST", "/x/y/") };
    const RouteTable table(configuration);
    for (const Case& item : Cases) {
        const auto found = table.find(item.host, item.method, item.path);
        if (item.route)
            STRCMP_EQUAL_TEXT(item.route, found ? found->name.c_str() : "none", item.path);
        else
            CHECK_TEXT(!found, item.path);
    }
}

TEST(RouteTable, FindsAmongManyHundredRoutes)
{
    RoutingConfiguration configuration;
    for (int index = 0; index < 600; ++index)
        configuration.routes.push_back(
            route(std::to_string(index).c_str(), "a.example", "", ("/p" + std::to_string(index) + "/").c_str()));
    const RouteTable table(configuration);
    LONGS_EQUAL(600, table.size());
    STRCMP_EQUAL("417", table.find("a.example", "GET", "/p417/x")->name.c_str());
}

TEST(RouteTable, WeightsHoldAtAnyTime)
{
    const std::vector<WeightedService> parts{ { .service = "a", .weight = 90 }, { .service = "b", .weight = 9 },
        { .service = "c", .weight = 1 } };
    for (const double start : { 0.0, 0.37, 0.95, 0.999 }) {
        WeightedRoundRobin turn(parts, start);
        std::map<std::string, double> counts;
        for (int count = 1; count <= 2000; ++count) {
            const std::string service = turn.next();
            turn.sent(service);
            counts[service] += 1;
            for (const WeightedService& part : parts)
                CHECK(std::abs(counts[part.service] - count * part.weight / 100.0) <= 2);
        }
    }
}

TEST(RouteTable, WeightsHoldForWhatIsSentWhileOneServiceRefuses)
{
    const std::vector<WeightedService> parts{ { .service = "a", .weight = 1 }, { .service = "b", .weight = 1 } };
    for (const int sentOfTen : { 1, 3, 5, 10 }) {
        WeightedRoundRobin turn(parts, 0.3);
        std::map<std::string, int> sent;
        int offeredToB = 0;
        for (int count = 0; count < 2000; ++count) {
            const std::string service = turn.next();
            const bool isRefused = service == "b" && offeredToB++ % 10 >= sentOfTen;
            if (isRefused)
                continue;
            turn.sent(service);
            ++sent[service];
            CHECK(std::abs(sent["a"] - sent["b"]) <= 4);
        }
        CHECK(sent["b"] > 0);
    }
}

TEST(RouteTable, IsKeptWhileTheWeightsAreUnchanged)
{
    const std::vector<WeightedService> parts{ { .service = "a", .weight = 1 }, { .service = "b", .weight = 3 } };
    const std::vector<WeightedService> others{ { .service = "a", .weight = 2 }, { .service = "b", .weight = 3 } };
    const WeightedRoundRobin turn(parts, 0.5);
    CHECK(turn.isFor(parts));
    CHECK_FALSE(turn.isFor(others));
}
