// What a decision costs, against the number of backend servers.

#include "Configuration/ConfigurationCodec.h"
#include "Node/Node.h"
#include "Tests/Virtual/VirtualFleet.h"

#include <benchmark/benchmark.h>

namespace {

using namespace burlreach;

constexpr std::size_t InFlight = 64;

/** One request from its arrival to its answer, 64 others under way. */
void wholeRequest(benchmark::State& state)
{
    VirtualFleet::Options fleet;
    fleet.backendServers = static_cast<std::size_t>(state.range(0));
    Node::Options options;
    options.name = "entry-1";
    options.incarnation = 1;
    options.probes = false;
    Node node(options);
    Actions actions;
    node.handle(StoreDocumentSeen{ .document = StoreDocument::Configuration,
                    .value = encodeConfiguration(VirtualFleet(fleet).firstConfiguration()) },
        {}, actions);
    Milliseconds now;
    RequestNumber number = 0;
    std::deque<SendAttempt> underWay;
    for (auto step : state) {
        (void)step;
        now = now + Milliseconds{ 0.05 };
        actions.clear();
        RequestArrived arrival;
        arrival.request = ++number;
        arrival.host = "bookings";
        arrival.method = "GET";
        arrival.path = "/search";
        node.handle(arrival, now, actions);
        for (const Action& action : actions) {
            if (const auto* send = std::get_if<SendAttempt>(&action))
                underWay.push_back(*send);
        }
        if (underWay.size() < InFlight)
            continue;
        const SendAttempt oldest = underWay.front();
        underWay.pop_front();
        const AttemptEnd end{ .result = AttemptResult::Answered, .reportedInFlight = 2, .leaving = false };
        node.handle(AttemptEnded{ .request = oldest.request, .attempt = oldest.attempt, .end = end }, now, actions);
    }
}

BENCHMARK(wholeRequest)->Arg(10)->Arg(100)->Arg(590);

}

BENCHMARK_MAIN();
