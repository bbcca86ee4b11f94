// Measures the wall time of all decisions for one request, from its arrival to its
// answer, depending on the number of backend servers.

#include "Configuration/ConfigurationCodec.h"
#include "Tests/Virtual/VirtualFleet.h"

#include <benchmark/benchmark.h>

namespace {

using namespace burlreach;

void wholeRequest(benchmark::State& state)
{
    VirtualFleet::Options options;
    options.instances = 1;
    options.probesPerSecond = 1e6;
    VirtualFleet fleet(options);
    for (std::int64_t server = 0; server < state.range(0); ++server)
        fleet.addServer({ .id = "s" + std::to_string(server), .work = { 1 } });
    fleet.configure(virtualConfiguration(fleet.serverIds(), 1));
    fleet.startAll();
    fleet.run({ 1000 });
    for (auto _ : state) {
        fleet.send(0, "bookings.example", "GET", "/search", { 1000 });
        fleet.run({ 8 });
    }
}

BENCHMARK(wholeRequest)->Arg(10)->Arg(60)->Arg(590); // NOLINT

}

BENCHMARK_MAIN(); // NOLINT
