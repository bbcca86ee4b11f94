// Permits of one backend server: in any period at most one more than its limit allows, however often permits are
// requested and however long the requests can wait.

#include "Limits/PermitSchedule.h"
#include "Base/Random.h"

#include <algorithm>
#include <cmath>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

struct Case {
    const char* name;
    double limit; // requests a second
    double requests; // requests for permits, a second
    Milliseconds patience;
};

const std::vector<Case> Cases{
    { "few requests", 3, 1, {} },
    { "many requests that cannot wait", 3, 200, {} },
    { "many requests that can wait", 3, 200, { 400 } },
    { "half a request a second", 0.5, 50, { 300 } },
    { "a high limit", 100, 400, { 50 } },
    { "a limit of zero", 0, 20, { 300 } },
};

constexpr Milliseconds Watched{ 60000 };
constexpr Milliseconds Window{ 4000 };
/** Rate of permits at a limit of zero, which keeps up the reports about the limit. */
constexpr double LeastPerSecond = 0.2;

}

TEST_GROUP(PermitSchedule){};

TEST(PermitSchedule, KeepsTheLimitInEachWindow)
{
    for (const Case& item : Cases) {
        Random random(1);
        PermitSchedule schedule;
        std::vector<double> granted;
        for (Milliseconds now; now < Watched; now = now + Milliseconds{ random.exponential(1000 / item.requests) }) {
            const auto grant = schedule.grant(
                { .backendServer = "s", .life = 1, .perSecond = item.limit, .patience = item.patience }, now);
            if (grant.isGranted)
                granted.push_back((now + grant.wait).count);
        }
        const double most = std::floor(std::max(item.limit, LeastPerSecond) * (Window / Second)) + 1;
        for (std::size_t first = 0; first < granted.size(); ++first) {
            const auto inWindow = std::count_if(granted.begin(), granted.end(),
                [&](double at) { return at >= granted[first] && at < granted[first] + Window.count; });
            CHECK_TEXT(static_cast<double>(inWindow) <= most, item.name);
        }
        CHECK_TEXT(!granted.empty(), item.name);
    }
}

TEST(PermitSchedule, FollowsALimitThatRises)
{
    PermitSchedule schedule;
    CHECK(schedule.grant({ .backendServer = "s", .life = 1, .perSecond = 0.5 }, {}).isGranted);
    CHECK(!schedule.grant({ .backendServer = "s", .life = 1, .perSecond = 0.5 }, { 1000 }).isGranted);
    CHECK(schedule.grant({ .backendServer = "s", .life = 1, .perSecond = 5 }, { 1000 }).isGranted);
}
