#include "Benchmarks/SpreadSlopes.h"

#include "Tests/Virtual/VirtualFleet.h"

namespace burlreach {

namespace {

using nlohmann::json;

constexpr Milliseconds Settled{ 60000 };
constexpr Milliseconds AfterRestart{ 60000 };

v1::ChangeRequest changeOfLimits()
{
    v1::ChangeRequest request;
    request.set_change_id("measured");
    request.mutable_set_limits()->set_service("bookings");
    request.mutable_set_limits()->mutable_limits()->set_retry_percent(20);
    return request;
}

json measure(std::size_t nodes)
{
    VirtualFleet::Options options;
    options.nodes = nodes;
    options.backendServers = 4;
    options.dataCentres = 5;
    options.tick = { 20 };
    options.probes = false;
    VirtualFleet fleet(options);
    fleet.start();
    fleet.runUntil(Settled);
    const Milliseconds asked = fleet.time.now();
    Milliseconds answered = Never;
    int named = 0;
    fleet.change(0, changeOfLimits(), [&](const v1::ChangeAnswer& answer) {
        answered = fleet.time.now();
        named = answer.not_yet_in_force_size();
    });
    fleet.runUntil(asked + Milliseconds{ 12000 });
    const std::uint64_t writes = fleet.store.writes;
    const std::uint64_t reads = fleet.store.reads;
    const std::uint32_t epoch = fleet.node(0).ownership().epoch();
    fleet.kill(nodes - 1);
    fleet.startNode(nodes - 1);
    fleet.runUntil(fleet.time.now() + AfterRestart);
    return {
        { "instances", nodes },
        { "in_force_milliseconds", (answered - asked).count },
        { "not_yet_in_force", named },
        { "epochs_a_restart", fleet.node(0).ownership().epoch() - epoch },
        { "store_writes_a_restart", fleet.store.writes - writes },
        { "store_reads_a_second", static_cast<double>(fleet.store.reads - reads) / (AfterRestart / Second) },
    };
}

}

json measureSpread()
{
    json rows = json::array();
    for (const std::size_t nodes : { 3, 6, 18, 60, 120 })
        rows.push_back(measure(nodes));
    return rows;
}

}
