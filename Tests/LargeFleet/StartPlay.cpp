#include "Tests/LargeFleet/StartPlay.h"

#include "Configuration/StoreItemTranslator.h"
#include "Tests/Virtual/VirtualFleet.h"

#include <algorithm>
#include <memory>

namespace burlreach {

namespace {

/** Reads nothing from the items: only how they reach the instances is played, not what the instances make of them. */
class OpaqueItemTranslator final : public StoreItemTranslator {
public:
    std::string watchedPrefix() const override { return ""; }
    ConfigurationUpdate translate(const StoreItem&) const override { return {}; }
};

constexpr std::size_t Batches = 36; // of registrations
constexpr Milliseconds BatchInterval{ 100 };
constexpr Milliseconds StartSpread{ 300 };
/** Time within which a change that the store has confirmed must be in force on every instance. */
constexpr Milliseconds InForceWithin{ 4000 };
constexpr Milliseconds Step{ 50 };
/** Time after the return of all instances within which a quarter of the requests must be served again. */
constexpr Milliseconds RecoveredWithin{ 18000 };
constexpr std::size_t Changes = 3;
constexpr Milliseconds BetweenChanges{ 5000 };
/**
 * Three watchers call the store at most seven times a second each while it changes, and the others in turn ten times a
 * second together.
 */
constexpr double MostWatchesPerSecond = 31;
/** Each instance may watch the store once before it has heard of those that do. */
constexpr double MostWatchesAtStart = 1;
constexpr double LinkBytesPerMillisecond = 2500;
constexpr double StoreLinkBytesPerMillisecond = 125000;
constexpr std::uint32_t WeakCapacity = 10;

/** Measured on one processor with 10,000 items of the store. */
constexpr ProcessorCost Processor{
    .event = { 0.05 }, .message = { 0.02 }, .kilobyte = { 0.005 }, .packing = { 2 }, .shareCheck = { 0.0014 }
};

VirtualFleet::Options optionsOf(const StartPlay& play)
{
    VirtualFleet::Options options;
    options.instances = play.instances;
    options.strongInstances = play.strong;
    options.weakCapacity = WeakCapacity;
    options.linkBytesPerMillisecond = LinkBytesPerMillisecond;
    options.processor = Processor;
    options.translator = std::make_shared<OpaqueItemTranslator>();
    options.store = { .page = 200, .linkBytesPerMillisecond = StoreLinkBytesPerMillisecond };
    return options;
}

/** The record of a server, of which a part compresses badly, as in real ones. */
std::string recordOf(std::size_t server)
{
    constexpr std::uint64_t multiplier = 0x9E3779B97F4A7C15;
    const std::string digits = std::to_string((server + 1) * multiplier);
    return R"({"id":")" + digits + R"(","address":"10.2.)" + std::to_string(server % 250)
        + R"(.1:8000","service":"bookings","state":"ready","slots":3})";
}

/** Registers the servers in batches. */
void registerServers(VirtualFleet& fleet, std::size_t servers)
{
    const std::size_t perBatch = (servers + Batches - 1) / Batches;
    for (std::size_t batch = 0; batch < Batches; ++batch) {
        fleet.clock().after(BatchInterval * static_cast<double>(batch + 1), [&fleet, servers, perBatch, batch] {
            const std::size_t end = std::min(servers, (batch + 1) * perBatch);
            for (std::size_t server = batch * perBatch; server < end; ++server)
                fleet.theStore().put("servers/" + std::to_string(server), recordOf(server));
        });
    }
}

/** Starts all instances within a short time, as after a loss of power. */
void startAll(VirtualFleet& fleet)
{
    for (std::size_t instance = 0; instance < fleet.size(); ++instance) {
        const double share = static_cast<double>(instance) / static_cast<double>(fleet.size());
        fleet.clock().after(StartSpread * share, [&fleet, instance] { fleet.start(instance); });
    }
}

std::size_t countBehind(VirtualFleet& fleet, StoreRevision revision)
{
    std::size_t behind = 0;
    for (std::size_t instance = 0; instance < fleet.size(); ++instance)
        behind += fleet.node(instance).storeRevision() < revision ? 1 : 0;
    return behind;
}

/** Changes the configuration and watches until it is in force everywhere or the bound has passed. */
void change(VirtualFleet& fleet, const std::string& value, StartResult& result)
{
    const Milliseconds began = fleet.now();
    const StoreRevision changed = fleet.theStore().put("configuration", value);
    std::size_t behind = fleet.size();
    while (behind && fleet.now() - began < InForceWithin) {
        fleet.run(Step);
        behind = countBehind(fleet, changed);
    }
    result.behind.push_back(behind);
    result.inForceAfter.push_back(behind ? Never : fleet.now() - began);
    fleet.run(began + BetweenChanges - fleet.now());
}

/** Starts all instances before a store that holds everything, and watches until a quarter of them has it. */
StartResult playReturn(const StartPlay& play)
{
    StartResult result;
    VirtualFleet fleet(optionsOf(play));
    fleet.theStore().put("configuration", "first");
    for (std::size_t server = 0; server < play.servers; ++server)
        fleet.theStore().put("servers/" + std::to_string(server), recordOf(server));
    startAll(fleet);
    result.quarterReadyAfter = Never;
    fleet.run(StartSpread);
    while (fleet.now() < RecoveredWithin) {
        fleet.run(Step);
        result.ready = fleet.size() - countBehind(fleet, 1);
        if (result.quarterReadyAfter == Never && result.ready * 4 >= fleet.size())
            result.quarterReadyAfter = fleet.now();
        if (result.ready == fleet.size())
            break;
    }
    result.watches = fleet.theStore().callsOf(StoreOperation::Watch);
    result.mostWatches
        = MostWatchesPerSecond * (fleet.now() / Second) + MostWatchesAtStart * static_cast<double>(play.instances);
    return result;
}

}

StartResult playStart(const StartPlay& play)
{
    if (play.isReturn)
        return playReturn(play);
    StartResult result;
    VirtualFleet fleet(optionsOf(play));
    fleet.theStore().put("configuration", "first");
    startAll(fleet);
    registerServers(fleet, play.servers);
    fleet.run(BatchInterval * static_cast<double>(Batches));
    fleet.resetWaits();
    for (std::size_t number = 0; number < Changes; ++number)
        change(fleet, std::to_string(number), result);
    result.watches = fleet.theStore().callsOf(StoreOperation::Watch);
    result.mostWatches
        = MostWatchesPerSecond * (fleet.now() / Second) + MostWatchesAtStart * static_cast<double>(play.instances);
    constexpr double megabyte = 1e6;
    result.peerMegabytes = static_cast<double>(fleet.peerBytes()) / megabyte;
    for (std::size_t instance = 0; instance < fleet.size(); ++instance) {
        result.pulls += fleet.node(instance).counters().value(DecisionCount::PullsSent);
        result.packings += fleet.node(instance).counters().value(DecisionCount::ChangesPacked);
        result.longestWait = std::max(result.longestWait, fleet.longestWait(instance));
    }
    return result;
}

std::vector<std::string> brokenBounds(const StartResult& result)
{
    std::vector<std::string> broken;
    if (result.quarterReadyAfter == Never)
        broken.push_back("18 s after the return only " + std::to_string(result.ready) + " instances have everything");
    for (std::size_t number = 0; number < result.behind.size(); ++number) {
        if (result.behind[number]) {
            broken.push_back("change " + std::to_string(number + 1) + " is not in force on "
                + std::to_string(result.behind[number]) + " instances after 4 s");
        }
    }
    if (static_cast<double>(result.watches) > result.mostWatches) {
        broken.push_back(std::to_string(result.watches) + " watches of the store, "
            + std::to_string(static_cast<std::size_t>(result.mostWatches)) + " are allowed");
    }
    return broken;
}

}
