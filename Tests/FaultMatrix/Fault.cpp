#include "Tests/FaultMatrix/Fault.h"

#include <optional>
#include <vector>

namespace burlreach {

namespace {

void restartDead(VirtualFleet& fleet)
{
    for (std::size_t instance = 0; instance < fleet.size(); ++instance) {
        if (!fleet.isAlive(instance))
            fleet.start(instance);
    }
}

void killAll(VirtualFleet& fleet)
{
    for (std::size_t instance = 0; instance < fleet.size(); ++instance)
        fleet.kill(instance);
}

void killWatchers(VirtualFleet& fleet)
{
    for (std::size_t instance = 0; instance < fleet.size(); ++instance) {
        if (fleet.isAlive(instance) && fleet.node(instance).isWatching())
            fleet.kill(instance);
    }
}

std::string name(std::size_t instance)
{
    return "entry-" + std::to_string(instance + 1);
}

Fault storeFault(std::string_view faultName, StoreFault fault)
{
    return { .name = faultName,
        .inject = [fault](VirtualFleet& fleet) { fleet.theStore().setFault(fault); },
        .heal = [](VirtualFleet& fleet) { fleet.theStore().setFault(StoreFault::None); },
        .hitsStore = true };
}

Fault serverFault(std::string_view faultName, ServerFault fault, std::size_t servers, bool isConfined)
{
    const auto setAll = [servers](VirtualFleet& fleet, ServerFault next) {
        std::size_t left = servers;
        for (const std::string& id : fleet.serverIds()) {
            if (left-- == 0)
                return;
            fleet.server(id).setFault(next);
        }
    };
    return { .name = faultName,
        .inject = [setAll, fault](VirtualFleet& fleet) { setAll(fleet, fault); },
        .heal = [setAll](VirtualFleet& fleet) { setAll(fleet, ServerFault::None); },
        .hitsStore = false,
        .isConfined = isConfined };
}

std::vector<Fault> makeFaults()
{
    constexpr std::size_t one = 1;
    constexpr std::size_t half = 3;
    constexpr std::size_t all = 6;
    const auto nothing = [](VirtualFleet&) {};
    std::vector<Fault> faults{
        { .name = "none", .inject = nothing, .heal = nothing },
        { .name = "kill", .inject = [](VirtualFleet& fleet) { fleet.kill(StruckInstance); }, .heal = restartDead },
        { .name = "kill-and-restart",
            .inject =
                [](VirtualFleet& fleet) {
                    fleet.kill(StruckInstance);
                    fleet.start(StruckInstance);
                },
            .heal = nothing },
        { .name = "freeze",
            .inject = [](VirtualFleet& fleet) { fleet.freeze(StruckInstance); },
            .heal = [](VirtualFleet& fleet) { fleet.wake(StruckInstance); } },
        { .name = "kill-watchers", .inject = killWatchers, .heal = restartDead, .isConfined = false },
        { .name = "kill-all", .inject = killAll, .heal = restartDead, .isConfined = false },
        { .name = "kill-all-with-store-down",
            .inject =
                [](VirtualFleet& fleet) {
                    fleet.theStore().setFault(StoreFault::Down);
                    killAll(fleet);
                    restartDead(fleet);
                },
            .heal = [](VirtualFleet& fleet) { fleet.theStore().setFault(StoreFault::None); },
            .hitsStore = true,
            .isConfined = false },
        { .name = "cut-from-store",
            .inject = [](VirtualFleet& fleet) { fleet.theStore().setTurnedAway(name(StruckInstance), true); },
            .heal = [](VirtualFleet& fleet) { fleet.theStore().setTurnedAway(name(StruckInstance), false); } },
        { .name = "cut-from-peers",
            .inject = [](VirtualFleet& fleet) { fleet.cutFromPeers(StruckInstance, true); },
            .heal = [](VirtualFleet& fleet) { fleet.cutFromPeers(StruckInstance, false); } },
        { .name = "cut-from-both",
            .inject =
                [](VirtualFleet& fleet) {
                    fleet.theStore().setTurnedAway(name(StruckInstance), true);
                    fleet.cutFromPeers(StruckInstance, true);
                },
            .heal =
                [](VirtualFleet& fleet) {
                    fleet.theStore().setTurnedAway(name(StruckInstance), false);
                    fleet.cutFromPeers(StruckInstance, false);
                } },
        { .name = "all-cut-from-peers",
            .inject =
                [](VirtualFleet& fleet) {
                    for (std::size_t instance = 0; instance < fleet.size(); ++instance)
                        fleet.cutFromPeers(instance, true);
                },
            .heal =
                [](VirtualFleet& fleet) {
                    for (std::size_t instance = 0; instance < fleet.size(); ++instance)
                        fleet.cutFromPeers(instance, false);
                } },
        { .name = "asked-to-stop",
            .inject = [](VirtualFleet& fleet) { fleet.askToStop(StruckInstance); },
            .heal =
                [](VirtualFleet& fleet) {
                    fleet.kill(StruckInstance);
                    fleet.start(StruckInstance);
                } },
        { .name = "store-forgets-history",
            .inject = [](VirtualFleet& fleet) { fleet.theStore().forgetHistory(); },
            .heal = nothing },
        storeFault("store-down", StoreFault::Down),
        storeFault("store-silent", StoreFault::Silent),
        storeFault("store-slow", StoreFault::Slow),
        storeFault("store-loses-answers", StoreFault::LosesAnswers),
        serverFault("server-dead", ServerFault::Dead, one, true),
        serverFault("server-dark", ServerFault::Dark, one, true),
        serverFault("server-hangs", ServerFault::Hangs, one, true),
        serverFault("server-loses-answers", ServerFault::LosesAnswers, one, true),
        serverFault("server-refuses", ServerFault::Refuses, one, true),
        serverFault("server-fails", ServerFault::Fails, one, true),
        serverFault("server-slow", ServerFault::Slow, one, true),
        serverFault("server-replaced", ServerFault::Replaced, one, true),
        serverFault("half-of-servers-dead", ServerFault::Dead, half, false),
        serverFault("all-servers-dark", ServerFault::Dark, all, false),
        serverFault("all-servers-refuse", ServerFault::Refuses, all, false),
        serverFault("all-servers-lose-answers", ServerFault::LosesAnswers, all, false),
    };
    return faults;
}

constexpr Milliseconds Suspension{ 5000 };
/** Interval between two requests that crash servers. */
constexpr Milliseconds ComesEvery{ 110 };

/** A request that crashes servers; it differs from the other requests only in its body. */
VirtualRequest harmfulFor(std::size_t instance)
{
    // Marks requests to the instance that may be suspended: a late answer there breaks no promise.
    return { .path = "/bookings",
        .body = "x",
        .timeLeft = { 700 },
        .kind = instance == StruckInstance ? "frozen" : "",
        .crashesServers = true };
}

std::vector<Fault> makeLaterFaults()
{
    const auto suspend = [](VirtualFleet& fleet) {
        fleet.freeze(StruckInstance);
        fleet.clock().after(Suspension, [&fleet] { fleet.wake(StruckInstance); });
    };
    const auto sendHarmful = [](VirtualFleet& fleet) { fleet.repeat(harmfulFor, ComesEvery); };
    const auto nothing = [](VirtualFleet&) {};
    return {
        { .name = "suspended", .inject = suspend, .heal = nothing, .lasts = Suspension },
        { .name = "crashing-request", .inject = sendHarmful, .heal = nothing, .isConfined = false },
    };
}

/** Longer than requests may wait, shorter than a fault lasts. */
constexpr Milliseconds AskedPause{ 1200 };
/** In requests per second; a third of what a server gets without a limit. */
constexpr double NamedLimit = 4;

/** The first servers report that they leave. */
Fault leavingFault(std::string_view faultName, std::size_t servers, bool isConfined)
{
    return { .name = faultName,
        .inject =
            [servers](VirtualFleet& fleet) {
                for (std::size_t index = 0; index < servers; ++index)
                    fleet.server("s" + std::to_string(index)).setLeaving(true);
            },
        .heal = [](VirtualFleet&) {}, // a server never withdraws this notice
        .isConfined = isConfined };
}

/** The first servers refuse all requests and ask for a pause. */
Fault pauseFault(std::string_view faultName, std::size_t servers, bool isConfined)
{
    Fault fault = serverFault(faultName, ServerFault::Refuses, servers, isConfined);
    const auto refuse = fault.inject;
    fault.inject = [refuse](VirtualFleet& fleet) {
        for (const std::string& id : fleet.serverIds())
            fleet.server(id).setPause(AskedPause);
        refuse(fleet);
    };
    const auto serve = fault.heal;
    fault.heal = [serve](VirtualFleet& fleet) {
        for (const std::string& id : fleet.serverIds())
            fleet.server(id).setPause({});
        serve(fleet);
    };
    return fault;
}

/** The first servers report a limit and otherwise work as before. */
Fault limitFault(std::string_view faultName, std::size_t servers, bool isConfined)
{
    const auto name = [servers](std::optional<double> limit) {
        return [servers, limit](VirtualFleet& fleet) {
            for (std::size_t index = 0; index < servers; ++index)
                fleet.server("s" + std::to_string(index)).setLimit(limit);
        };
    };
    return { .name = faultName, .inject = name(NamedLimit), .heal = name(std::nullopt), .isConfined = isConfined };
}

/** The first `instances` lose their path to these backend servers, or to all if none is named. */
Fault pathFault(
    std::string_view faultName, ServerCut cut, std::size_t instances, const std::set<std::string>& servers = {})
{
    const auto set = [instances, servers](ServerCut next) {
        return [instances, servers, next](VirtualFleet& fleet) {
            for (std::size_t instance = 0; instance < instances; ++instance)
                fleet.cutFromServers(instance, next, servers);
        };
    };
    return { .name = faultName, .inject = set(cut), .heal = set(ServerCut::None), .isConfined = instances == 1 };
}

std::vector<Fault> makePathFaults()
{
    constexpr std::size_t most = 3;
    constexpr std::size_t all = 4;
    return {
        pathFault("cut-from-servers", ServerCut::Silent, 1),
        pathFault("cut-from-servers-one-way", ServerCut::OneWay, 1),
        pathFault("reset-from-servers", ServerCut::Reset, 1),
        pathFault("new-connections-refused", ServerCut::NewRefused, 1),
        pathFault("new-connections-silent", ServerCut::NewSilent, 1),
        pathFault("cut-from-half-of-servers", ServerCut::Silent, 1, { "s0", "s1", "s2" }),
        pathFault("most-cut-from-servers", ServerCut::Silent, most),
        pathFault("all-reset-from-servers", ServerCut::Reset, all),
    };
}

/** Longer than instances may take to find the paths that others have. */
constexpr Milliseconds UnequalPathsLast{ 6000 };

/** Each instance reaches only the servers that the function names. */
Fault unequalPathFault(std::string_view faultName, const std::function<std::set<std::string>(std::size_t)>& reached)
{
    const auto cut = [reached](VirtualFleet& fleet) {
        for (std::size_t instance = 0; instance < fleet.size(); ++instance) {
            std::set<std::string> lost;
            for (const std::string& id : fleet.serverIds()) {
                if (!reached(instance).contains(id))
                    lost.insert(id);
            }
            fleet.cutFromServers(instance, ServerCut::Silent, lost);
        }
        fleet.clock().after(UnequalPathsLast, [&fleet] {
            for (std::size_t instance = 0; instance < fleet.size(); ++instance)
                fleet.cutFromServers(instance, ServerCut::None);
        });
    };
    return {
        .name = faultName, .inject = cut, .heal = [](VirtualFleet&) {}, .lasts = UnequalPathsLast, .isConfined = false
    };
}

std::vector<Fault> makeUnequalPathFaults()
{
    const std::vector<std::set<std::string>> byDataCentre{ { "s0", "s3" }, { "s1", "s4" }, { "s2", "s5" }, {} };
    const std::vector<std::set<std::string>> oneEach{ {}, { "s0" }, { "s2" }, { "s3" } };
    return {
        unequalPathFault(
            "one-data-centre-each", [byDataCentre](std::size_t instance) { return byDataCentre[instance]; }),
        unequalPathFault("one-server-each", [oneEach](std::size_t instance) { return oneEach[instance]; }),
        unequalPathFault("one-instance-reaches-one-server",
            [](std::size_t instance) {
                return instance == 3 ? std::set<std::string>{ "s0" } : std::set<std::string>{};
            }),
    };
}

/** The stopping instance's last answers are due after longer than callers wait, and it ends soon afterwards. */
constexpr Milliseconds Noticed{ 400 };
constexpr Milliseconds AnswersDue{ 900 };
constexpr Milliseconds StopEnd{ 1000 };

/** The struck instance is stopped and ends, while a number of servers have this fault. */
Fault stopFault(std::string_view faultName, ServerFault fault, std::size_t servers)
{
    const Fault beside = serverFault(faultName, fault, servers, false);
    return { .name = faultName,
        .inject =
            [inject = beside.inject](VirtualFleet& fleet) {
                inject(fleet);
                fleet.stop(StruckInstance, { .noticedBy = Noticed, .answersDue = AnswersDue, .end = StopEnd });
            },
        .heal =
            [heal = beside.heal](VirtualFleet& fleet) {
                heal(fleet);
                restartDead(fleet);
            },
        .isConfined = !servers };
}

std::vector<Fault> makeStopFaults()
{
    constexpr std::size_t half = 3;
    constexpr std::size_t all = 6;
    return {
        stopFault("stopped", ServerFault::None, 0),
        stopFault("stopped-beside-slow-servers", ServerFault::Slow, all),
        stopFault("stopped-beside-hanging-servers", ServerFault::Hangs, half),
        stopFault("stopped-beside-lost-answers", ServerFault::LosesAnswers, half),
    };
}

std::vector<Fault> makeWordFaults()
{
    constexpr std::size_t half = 3;
    constexpr std::size_t all = 6;
    return {
        leavingFault("server-leaving", 1, true),
        leavingFault("half-of-servers-leaving", half, false),
        pauseFault("server-asks-pause", 1, true),
        pauseFault("all-servers-ask-pause", all, false),
        limitFault("server-names-limit", 1, true),
        limitFault("all-servers-name-limit", all, false),
    };
}

}

std::span<const Fault> wordFaults()
{
    static const std::vector<Fault> faults = makeWordFaults();
    return faults;
}

std::span<const Fault> pathFaults()
{
    static const std::vector<Fault> faults = makePathFaults();
    return faults;
}

std::span<const Fault> unequalPathFaults()
{
    static const std::vector<Fault> faults = makeUnequalPathFaults();
    return faults;
}

std::span<const Fault> stopFaults()
{
    static const std::vector<Fault> faults = makeStopFaults();
    return faults;
}

std::span<const Fault> laterFaults()
{
    static const std::vector<Fault> faults = makeLaterFaults();
    return faults;
}

std::span<const Fault> allFaults()
{
    static const std::vector<Fault> faults = makeFaults();
    return faults;
}

}
