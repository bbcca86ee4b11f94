#include "Measurement/ProbeManager.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

std::shared_ptr<BackendServerState> server(const char* id, const char* dataCentre = "dc-1")
{
    BackendServerRecord record;
    record.id = id;
    record.dataCentre = dataCentre;
    return std::make_shared<BackendServerState>(record, Milliseconds{ 0 });
}

struct Case {
    const char* name;
    std::size_t instances;
    std::size_t dataCentres; // over which they are spread
    double perSecond;
    double share;
};

const std::vector<Case> Cases{ { "three", 3, 1, 60, 1 }, { "three in three data centres", 3, 3, 60, 1 },
    { "eighteen", 18, 4, 60, 1 }, { "eighteen in one data centre", 18, 1, 60, 1 }, { "a hundred", 99, 3, 60, 1 },
    { "more", 142, 4, 60, 1 }, { "hundreds", 473, 6, 60, 1 }, { "hundreds, small budget", 473, 6, 60, 0.3 },
    { "small budget", 18, 4, 60, 0.1 }, { "no budget", 18, 4, 0, 1 } };

constexpr int SpanMilliseconds = 5000;
constexpr int SecondMilliseconds = 1000;

/** All instances of a fleet, each of which wants to probe the same server in dc-0. */
class ProbingFleet {
public:
    explicit ProbingFleet(const Case& item)
        : share(item.share)
    {
        for (std::size_t instance = 0; instance < item.instances; ++instance) {
            this->randoms.push_back(std::make_unique<Random>(instance));
            const std::string dataCentre = "dc-" + std::to_string(instance % item.dataCentres);
            this->managers.push_back(std::make_unique<ProbeManager>(
                ProbeManager::Options{ .fleetPerSecond = item.perSecond, .dataCentre = dataCentre },
                *this->randoms.back()));
            this->managers.back()->setFleet(item.instances, item.dataCentres);
        }
    }

    /** Lets each instance try to send a probe; returns how many did. */
    int probeAt(Milliseconds now)
    {
        int sent = 0;
        for (const auto& manager : this->managers) {
            const auto probe = manager->start(this->asked, "/load", this->share, now);
            if (!probe)
                continue;
            ++sent;
            manager->ended(probe->number);
        }
        return sent;
    }

private:
    double share;
    std::shared_ptr<BackendServerState> asked = server("s1", "dc-0");
    std::vector<std::unique_ptr<Random>> randoms;
    std::vector<std::unique_ptr<ProbeManager>> managers;
};

/** The maximum number of probes within any second when each instance tries every `every` milliseconds. */
int mostInAnySecond(const Case& item, int every)
{
    ProbingFleet fleet(item);
    std::vector<int> at(SpanMilliseconds, 0);
    int within = 0;
    int most = 0;
    for (int now = 0; now < SpanMilliseconds; ++now) {
        if (now % every == 0)
            at[now] = fleet.probeAt({ static_cast<double>(now) });
        within += at[now];
        if (now >= SecondMilliseconds)
            within -= at[now - SecondMilliseconds];
        most = std::max(most, within);
    }
    return most;
}

/** Number of probes that an instance in this data centre sends in 20 s when it tries every millisecond. */
int probesFrom(const Case& item, const char* dataCentre)
{
    constexpr int milliseconds = 20000;
    const auto asked = server("s1", "dc-0");
    Random random(1);
    ProbeManager manager({ .fleetPerSecond = item.perSecond, .dataCentre = dataCentre }, random);
    manager.setFleet(item.instances, item.dataCentres);
    int probes = 0;
    for (int now = 0; now < milliseconds; ++now) {
        const auto probe = manager.start(asked, "/load", item.share, { static_cast<double>(now) });
        if (!probe)
            continue;
        ++probes;
        manager.ended(probe->number);
    }
    return probes;
}

}

TEST_GROUP(ProbeManager){};

// Holds also right after all instances have started or resumed together, when no budget has been used before.
TEST(ProbeManager, TheFleetKeepsItsBudgetInEverySecondHoweverLarge)
{
    for (const Case& item : Cases) {
        for (const int every : { 10, 249, 700, 999 }) {
            // A fleet of three is assumed to be larger, which makes the shares smaller.
            CHECK_TEXT(mostInAnySecond(item, every) <= item.perSecond * item.share + 0.5, item.name);
        }
    }
}

// In a large fleet each instance gets few requests, so that even its first one must be allowed to probe some servers.
TEST(ProbeManager, AnInstanceOfALargeFleetMayProbeSomeNearbyServersFromTheStart)
{
    constexpr std::size_t servers = 18;
    constexpr int fewestInTheMean = 3;
    constexpr std::size_t fleet = 473;
    int asked = 0;
    Random random(1);
    for (std::size_t instance = 0; instance < fleet; ++instance) {
        ProbeManager manager({ .fleetPerSecond = 60, .dataCentre = "dc-1" }, random);
        manager.setFleet(fleet, 6);
        for (std::size_t each = 0; each < servers; ++each)
            asked += manager.start(server(("s" + std::to_string(each)).c_str()), "/load", 1, { 5 }) ? 1 : 0;
    }
    CHECK(asked >= fewestInTheMean * static_cast<int>(fleet));
}

TEST(ProbeManager, InstancesInTheSameDataCentreMayProbeMore)
{
    const Case item{ "eighteen", 18, 4, 60, 1 };
    CHECK(probesFrom(item, "dc-0") > 5 * probesFrom(item, "dc-1"));
}

TEST(ProbeManager, NeverProbesAServerTwiceAtTheSameTime)
{
    Random random(1);
    ProbeManager manager({ .fleetPerSecond = 1000 }, random);
    const auto asked = server("s1");
    const auto probe = manager.start(asked, "/load", 1, { 0 });
    CHECK(probe.has_value());
    CHECK(manager.isInFlight("s1"));
    CHECK_FALSE(manager.start(asked, "/load", 1, { 500 }).has_value());
    CHECK(manager.ended(probe->number) == asked);
    CHECK_FALSE(manager.isInFlight("s1"));
    CHECK_TEXT(!manager.ended(probe->number), "a probe ends once");
}

TEST(ProbeManager, SendsNoProbeWithoutAPath)
{
    Random random(1);
    ProbeManager manager({}, random);
    CHECK_FALSE(manager.start(server("s1"), "", 1, { 0 }).has_value());
}
