#include "Measurement/ProbeScheduler.h"

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

/** Permits everything; the load was never known. */
class EagerAdviser final : public ProbeAdviser {
public:
    bool mayProbe(const ProbeTarget&, Milliseconds) const override { return true; }
    Milliseconds loadKnownAt(const ProbeTarget&) const override { return LongAgo; }
};

}

TEST_GROUP(ProbeScheduler){};

// A server that answers probes in 0.2 ms and one of whose probes fails must not
// be probed at every tick.
TEST(ProbeScheduler, FastAndFailedProbesAreNotRepeatedAtEveryTick)
{
    ProbeScheduler scheduler({});
    const ProbeTarget target{
        .service = "s", .backendServer = "b", .address = {}, .slot = 0, .budgetPerSecond = { 30 }
    };
    scheduler.configure(std::vector<ProbeTarget>{ target });
    int probes = 0;
    for (Milliseconds now; now.count < 10000; now = now + Milliseconds{ 5 }) {
        for (const Probe& probe : scheduler.tick(EagerAdviser(), now)) {
            ++probes;
            CHECK(probe.timeout.count >= 6);
            CHECK(scheduler.ended(probe.number, { 0.2 }, now + Milliseconds{ 0.2 }));
        }
    }
    CHECK(probes >= 40);
    CHECK(probes <= 51);
}
