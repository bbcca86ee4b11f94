#include "Tests/Virtual/VirtualFleet.h"

#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr Milliseconds Target{ 300 };
constexpr Milliseconds FreshTimeLeft{ 2000 };
constexpr Milliseconds LateTimeLeft{ 1200 };
constexpr Milliseconds Span{ 10000 };

/** The load consists of first attempts (fresh) and late ones; the servers answer 60 requests per second. */
struct Case {
    const char* name;
    bool inTimeFirst;
    double fresh; // requests per second
    double late; // requests per second
    double minFreshAnswered; // minimum share of fresh requests answered
    double minLateAnswered; // minimum share of late requests answered
    double maxLateAnswered; // maximum share of late requests answered
};

const std::vector<Case> Cases{
    { "under overload late requests have lower priority and do not starve", true, 70, 50, 0.55, 0.005, 0.25 },
    { "without prioritization all have equal priority", false, 70, 50, 0.2, 0.3, 0.8 },
    { "without overload all are served", true, 10, 10, 0.98, 0.97, 1 },
};

struct Shares {
    double fresh = 0;
    double late = 0;
};

double shareAnswered(const VirtualFleet& fleet, const std::string& kind)
{
    double sent = 0;
    double answered = 0;
    for (const auto& [number, caller] : fleet.callers()) {
        if (caller.kind != kind)
            continue;
        sent += 1;
        answered += caller.outcome == CallerOutcome::Answered ? 1 : 0;
    }
    return answered / sent;
}

v1::Configuration configurationOf(const VirtualFleet& fleet)
{
    v1::Configuration configuration = virtualConfiguration(fleet.serverIds(), 1);
    v1::RequestRule* rule = configuration.mutable_services(0)->add_rules();
    rule->set_path_prefix("/");
    rule->set_repeat(v1::MAY_REPEAT);
    rule->set_target_milliseconds(static_cast<std::uint32_t>(Target.count));
    return configuration;
}

void callEvery(
    VirtualFleet& fleet, Milliseconds gap, const std::string& kind, Milliseconds timeLeft, std::size_t turn = 0)
{
    fleet.send(turn % fleet.size(), "bookings.example", "GET", "/search", timeLeft, kind);
    fleet.clock().after(gap, [&fleet, gap, kind, timeLeft, turn] { callEvery(fleet, gap, kind, timeLeft, turn + 1); });
}

Shares runCase(const Case& item)
{
    VirtualFleet::Options options;
    options.requests.inTimeFirst = item.inTimeFirst;
    VirtualFleet fleet(options);
    for (const char* id : { "s1", "s2" })
        fleet.addServer({ .id = id, .work = { 100 }, .workSpread = 0.3 });
    fleet.configure(configurationOf(fleet));
    fleet.startAll();
    fleet.run({ 500 });
    callEvery(fleet, Second * (1 / item.fresh), "fresh", FreshTimeLeft);
    callEvery(fleet, Second * (1 / item.late), "late", LateTimeLeft);
    fleet.run(Span);
    return { .fresh = shareAnswered(fleet, "fresh"), .late = shareAnswered(fleet, "late") };
}

}

TEST_GROUP(LateCallers){};

TEST(LateCallers, CallersThatCanStillBeInTimeGoFirst)
{
    for (const Case& item : Cases) {
        const Shares shares = runCase(item);
        CHECK_TEXT(shares.fresh >= item.minFreshAnswered, item.name);
        CHECK_TEXT(shares.late >= item.minLateAnswered, item.name);
        CHECK_TEXT(shares.late <= item.maxLateAnswered, item.name);
    }
}
