#include "Benchmarks/FleetSlopes.h"

#include "Tests/Virtual/VirtualFleet.h"

#include <algorithm>
#include <string>

namespace burlreach {

namespace {

constexpr Milliseconds Settling{ 12000 };
constexpr double MeasuredSeconds = 20;
constexpr Milliseconds Step{ 1 };
constexpr Milliseconds LongestSpread{ 5000 };

bool haveAll(VirtualFleet& fleet, StoreRevision revision)
{
    for (std::size_t instance = 0; instance < fleet.size(); ++instance) {
        if (fleet.node(instance).storeRevision() < revision)
            return false;
    }
    return true;
}

double timeToSpread(VirtualFleet& fleet, std::uint32_t revision)
{
    const StoreRevision written = fleet.configure(virtualConfiguration(fleet.serverIds(), revision));
    const Milliseconds begun = fleet.now();
    while (!haveAll(fleet, written) && fleet.now() - begun < LongestSpread)
        fleet.run(Step);
    return (fleet.now() - begun).count;
}

}

FleetCost measureFleet(std::size_t instances, std::size_t servers)
{
    VirtualFleet::Options options;
    options.instances = instances;
    VirtualFleet fleet(options);
    for (std::size_t server = 0; server < servers; ++server)
        fleet.addServer({ .id = "s" + std::to_string(server) });
    fleet.configure(virtualConfiguration(fleet.serverIds(), 1));
    fleet.startAll();
    fleet.run(Settling);
    const std::size_t messages = fleet.peerMessages();
    const std::size_t bytes = fleet.peerBytes();
    const std::size_t calls = fleet.theStore().calls();
    fleet.resetMessagesOf();
    fleet.run(Second * MeasuredSeconds);
    const auto perInstance = static_cast<double>(instances) * MeasuredSeconds;
    FleetCost cost;
    cost.instances = instances;
    cost.servers = servers;
    cost.messages = static_cast<double>(fleet.peerMessages() - messages) / perInstance;
    cost.bytes = static_cast<double>(fleet.peerBytes() - bytes) / perInstance;
    cost.storeCalls = static_cast<double>(fleet.theStore().calls() - calls) / MeasuredSeconds;
    cost.mostMessages = static_cast<double>(fleet.mostMessagesOfOne()) / MeasuredSeconds;
    cost.spreadMilliseconds = timeToSpread(fleet, 2);
    return cost;
}

}
