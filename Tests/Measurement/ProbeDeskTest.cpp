#include "Measurement/ProbeDesk.h"

#include <memory>
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
    std::size_t instances;
    std::size_t dataCentres; // over which they are spread
    double perSecond;
    double share;
};

const std::vector<Case> Cases{ { 3, 1, 60, 1 }, { 3, 3, 60, 1 }, { 18, 4, 60, 1 }, { 18, 1, 60, 1 }, { 142, 4, 60, 1 },
    { 18, 4, 60, 0.1 }, { 18, 4, 0, 1 } };

/** Probes that an instance in this data centre sends in 20 s when it asks at every moment. */
int probesFrom(const Case& item, const char* dataCentre)
{
    constexpr int milliseconds = 20000;
    const auto asked = server("s1");
    ProbeDesk desk({ .fleetPerSecond = item.perSecond, .dataCentre = dataCentre });
    desk.setFleet(item.instances, item.dataCentres);
    int probes = 0;
    for (int now = 0; now < milliseconds; ++now) {
        const auto probe = desk.start(asked, "/load", item.share, { static_cast<double>(now) });
        if (!probe)
            continue;
        ++probes;
        desk.ended(probe->number);
    }
    return probes;
}

}

TEST_GROUP(ProbeDesk){};

TEST(ProbeDesk, TheFleetKeepsItsBudgetHoweverLarge)
{
    constexpr double seconds = 20;
    for (const Case& item : Cases) {
        const auto instances = static_cast<double>(item.instances);
        const double near = instances / static_cast<double>(item.dataCentres);
        const double probes = probesFrom(item, "dc-1") * near + probesFrom(item, "dc-2") * (instances - near);
        const double atStart = 3 * instances; // the burst
        CHECK(probes <= item.perSecond * item.share * seconds + atStart);
    }
}

TEST(ProbeDesk, InstancesNearbyMayAskMore)
{
    const Case item{ 18, 4, 60, 1 };
    CHECK(probesFrom(item, "dc-1") > 5 * probesFrom(item, "dc-2"));
}

TEST(ProbeDesk, NeverAsksAServerTwiceAtTheSameTime)
{
    ProbeDesk desk({ .fleetPerSecond = 1000 });
    const auto asked = server("s1");
    const auto probe = desk.start(asked, "/load", 1, { 0 });
    CHECK(probe.has_value());
    CHECK(desk.isUnderWay("s1"));
    CHECK_FALSE(desk.start(asked, "/load", 1, { 500 }).has_value());
    CHECK(desk.ended(probe->number) == asked);
    CHECK_FALSE(desk.isUnderWay("s1"));
    CHECK_TEXT(!desk.ended(probe->number), "an end counts once");
}

TEST(ProbeDesk, AsksNobodyWithoutAPath)
{
    ProbeDesk desk({});
    CHECK_FALSE(desk.start(server("s1"), "", 1, { 0 }).has_value());
}
