#include "Measurement/ProbeDesk.h"

#include <memory>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

std::shared_ptr<BackendServerState> server(const char* id)
{
    BackendServerRecord record;
    record.id = id;
    return std::make_shared<BackendServerState>(record, Milliseconds{ 0 });
}

struct Case {
    std::size_t instances;
    double perSecond;
    double share;
};

const std::vector<Case> Cases{ { 3, 60, 1 }, { 18, 60, 1 }, { 142, 60, 1 }, { 18, 60, 0.1 }, { 18, 0, 1 } };

}

TEST_GROUP(ProbeDesk){};

TEST(ProbeDesk, TheFleetKeepsItsBudgetHoweverLarge)
{
    constexpr int milliseconds = 20000;
    for (const Case& item : Cases) {
        const auto asked = server("s1");
        ProbeDesk desk({ .fleetPerSecond = item.perSecond });
        desk.setInstances(item.instances);
        int probes = 0;
        for (int now = 0; now < milliseconds; ++now) {
            const auto probe = desk.start(asked, "/load", item.share, { static_cast<double>(now) });
            if (!probe)
                continue;
            ++probes;
            desk.ended(probe->number);
        }
        const double fleet = probes * static_cast<double>(item.instances) / (milliseconds / 1000);
        CHECK(fleet <= item.perSecond * item.share + 0.2 * static_cast<double>(item.instances));
    }
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
