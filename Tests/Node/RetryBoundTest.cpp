// Backend servers lose nearly all answers while instances are killed, cut off from
// each other, or suspended. Guards against the instances together sending more
// retries and hedges than the fleet's bound allows, because a new life spends a
// budget again or divides it by too small a number of instances.

#include "Tests/Virtual/RetriesKept.h"
#include "Tests/Virtual/VirtualFleet.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr Milliseconds Settling{ 12000 };
constexpr Milliseconds UnderFaults{ 18000 };
constexpr Milliseconds TimeLeft{ 1500 };
/** Time from a kill until the process runs again. */
constexpr Milliseconds Restart{ 500 };

/** A fleet under steady load whose backend servers lose answers. */
struct Case {
    const char* name;
    std::size_t instances;
    double slack;
    Milliseconds interval; // between requests to the whole fleet
    std::function<void(VirtualFleet&)> plan; // schedules the other faults, from the moment when answers get lost
};

bool isInLargePart(const VirtualFleet& fleet, std::size_t instance)
{
    constexpr double largePart = 0.6;
    return static_cast<double>(instance) < largePart * static_cast<double>(fleet.size());
}

void killAndRestart(VirtualFleet& fleet, std::size_t instance)
{
    fleet.kill(instance);
    fleet.clock().after(Restart, [&fleet, instance] { fleet.start(instance); });
}

void killAllAt(VirtualFleet& fleet, const std::vector<double>& times)
{
    for (const double at : times) {
        fleet.clock().after({ at }, [&fleet] {
            for (std::size_t instance = 0; instance < fleet.size(); ++instance)
                killAndRestart(fleet, instance);
        });
    }
}

/** Cuts instances off from every other one. */
void cutLargePart(VirtualFleet& fleet, bool cut)
{
    for (std::size_t instance = 0; instance < fleet.size(); ++instance) {
        if (isInLargePart(fleet, instance))
            fleet.cutFromPeers(instance, cut);
    }
}

void cutFor(VirtualFleet& fleet, Milliseconds at, Milliseconds span)
{
    fleet.clock().after(at, [&fleet] { cutLargePart(fleet, true); });
    fleet.clock().after(at + span, [&fleet] { cutLargePart(fleet, false); });
}

void nothingElse(VirtualFleet&) { }

void killAllOnce(VirtualFleet& fleet)
{
    killAllAt(fleet, { 3000 });
}

void killAllThrice(VirtualFleet& fleet)
{
    killAllAt(fleet, { 3000, 6000, 9000 });
}

void cutOnly(VirtualFleet& fleet)
{
    cutFor(fleet, { 0 }, { 14000 });
}

void cutAndKillAll(VirtualFleet& fleet)
{
    cutFor(fleet, { 0 }, { 14000 });
    killAllAt(fleet, { 2000 });
}

void cutAndKillAllTwice(VirtualFleet& fleet)
{
    cutFor(fleet, { 0 }, { 14000 });
    killAllAt(fleet, { 2000, 4000 });
}

void suspendLargePart(VirtualFleet& fleet)
{
    for (std::size_t instance = 0; instance < fleet.size(); ++instance) {
        if (!isInLargePart(fleet, instance))
            continue;
        fleet.clock().after({ 2000 }, [&fleet, instance] { fleet.freeze(instance); });
        fleet.clock().after({ 7000 }, [&fleet, instance] { fleet.wake(instance); });
    }
}

const std::vector<Case> Cases{
    { "2 instances, all killed three times", 2, 52, { 40 }, killAllThrice },
    { "13 instances, no other fault", 13, 64, { 20 }, nothingElse },
    { "13 instances, all killed once", 13, 64, { 20 }, killAllOnce },
    { "13 instances, cut off and killed", 13, 64, { 20 }, cutAndKillAll },
    { "40 instances, no other fault", 40, 96, { 20 }, nothingElse },
    { "40 instances, all killed three times", 40, 96, { 20 }, killAllThrice },
    { "40 instances, cut off", 40, 96, { 20 }, cutOnly },
    { "40 instances, suspended", 40, 96, { 20 }, suspendLargePart },
    { "40 instances, cut off and killed twice", 40, 96, { 20 }, cutAndKillAllTwice },
    { "95 instances, all killed once", 95, 158, { 8 }, killAllOnce },
    { "95 instances, cut off and killed", 95, 158, { 20 }, cutAndKillAll },
    { "95 instances, cut off and killed twice", 95, 158, { 20 }, cutAndKillAllTwice },
};

void load(VirtualFleet& fleet, Milliseconds span, Milliseconds interval, std::size_t& turn)
{
    const Milliseconds end = fleet.now() + span;
    while (fleet.now() < end) {
        fleet.send(turn++ % fleet.size(), "bookings.example", "GET", "/bookings", TimeLeft);
        fleet.run(interval);
    }
}

/** Plays the case; returns the worst window. */
RetryCount play(const Case& item, const RetryLimits& limits)
{
    VirtualFleet fleet({ .instances = item.instances, .seed = 5, .retries = limits });
    constexpr std::size_t servers = 24;
    for (std::size_t server = 0; server < servers; ++server)
        fleet.addServer({ .id = "s" + std::to_string(server), .work = { 40 }, .workSpread = 0.5 });
    fleet.configure(virtualConfiguration(fleet.serverIds(), 1));
    fleet.startAll();
    std::size_t turn = 0;
    load(fleet, Settling, item.interval, turn);
    for (const std::string& id : fleet.serverIds())
        fleet.server(id).setFault(ServerFault::LosesAnswers);
    item.plan(fleet);
    load(fleet, UnderFaults, item.interval, turn);
    fleet.run(TimeLeft * 2);
    return worstRetryWindow(fleet, limits);
}

}

TEST_GROUP(RetryBound){};

TEST(RetryBound, RestartsCutsAndSuspensionsDoNotAddRetries)
{
    // A fleet that uses less of the bound under constant failures refuses callers that it could serve.
    constexpr double leastUse = 0.4;
    std::string broken;
    for (const Case& item : Cases) {
        const RetryCount worst = play(item, { .share = 0.2, .slack = item.slack, .window = { 10000 } });
        const auto arrivals = static_cast<double>(worst.arrivals);
        if (arrivals > worst.allowed || arrivals < leastUse * worst.allowed)
            broken += std::string(item.name) + ": " + std::to_string(worst.arrivals) + " retries in a window, "
                + std::to_string(worst.allowed) + " allowed\n";
    }
    CHECK_TEXT(broken.empty(), broken.c_str());
}

// Guards against a lower share that only services added later keep to.
TEST(RetryBound, ALoweredShareIsInForceForRunningServices)
{
    VirtualFleet fleet({ .instances = 3, .retries = { .share = 0.2, .slack = 0, .window = { 10000 } } });
    for (const char* id : { "s0", "s1", "s2" })
        fleet.addServer({ .id = id, .work = { 20 } });
    v1::Configuration configuration = virtualConfiguration(fleet.serverIds(), 1);
    fleet.configure(configuration);
    fleet.startAll();
    std::size_t turn = 0;
    load(fleet, { 5000 }, { 20 }, turn);
    for (const std::string& id : fleet.serverIds())
        fleet.server(id).setFault(ServerFault::LosesAnswers);
    configuration.set_revision(2);
    configuration.mutable_services(0)->mutable_limits()->set_retry_percent(1);
    fleet.configure(configuration);
    // Until the change is in force everywhere and what was earned before has expired.
    load(fleet, { 5000 }, { 20 }, turn);
    const std::size_t before = fleet.arrivedAttempts().size();
    load(fleet, { 10000 }, { 20 }, turn);
    const double requests = 500;
    const double repeats = static_cast<double>(fleet.arrivedAttempts().size() - before) - requests;
    CHECK(repeats <= requests * 0.01 + 3);
}
