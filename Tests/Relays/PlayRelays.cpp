#include "Tests/Crowds/Crowd.h"
#include "Tests/Crowds/CrowdCase.h"
#include "Tests/Crowds/CrowdInstance.h"
#include "Tests/Crowds/PlatformStoreStandIn.h"
#include "Tests/Crowds/Promise.h"
#include "Tests/Crowds/WaitFor.h"
#include "Tests/Relays/HalvedAnswerServer.h"
#include "Tests/Relays/RelayCase.h"
#include "Tests/Relays/RelayedCaller.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <map>
#include <memory>
#include <thread>

namespace burlreach {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds Patience{ 20000 };
/** Longer than the deadline of the requests. */
constexpr milliseconds AnswerPatience{ 8000 };
constexpr milliseconds StopBound{ 1500 };
constexpr unsigned Ok = 200;

constexpr const char* Configuration = R"({"version":"00000001",
    "routes":{"r":{"host":"x.example","path_prefix":"/a/","type":"safe","timeout":"5500ms","target_latency":"1500ms",
        "priority":0,"service":"s","max_attempts":2},
        "u":{"host":"x.example","path_prefix":"/once/","type":"unsafe","timeout":"5500ms","target_latency":"1500ms",
        "priority":0,"service":"s","max_attempts":2}},
    "services":{"s":{"health_check_path":"/health","max_connections":260}},
    "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"10000ms",
        "idle_timeout":"300000ms"}})";

/** One server, and three instances of which the first can be cut off from it. */
class RelayFleet {
public:
    RelayFleet(const RelayCase& item, const RelayPlayOptions& options)
        : cutPorts(options.folder + "/cut")
    {
        this->store.put("servers/i-halved", this->server.entry("s"));
        this->store.put("op/config", Configuration);
        std::ofstream(this->cutPorts).flush();
        std::vector<NetworkAddress> seeds;
        for (const char* name : { "entry-0", "entry-1", "entry-2" }) {
            this->instances.push_back(
                std::make_unique<CrowdInstance>(CrowdInstance::Options{ .program = options.program,
                    .folder = options.folder,
                    .store = this->store.address(),
                    .name = name,
                    .seeds = seeds,
                    .cutPorts = this->instances.empty() ? this->cutPorts : "",
                    .stopBound = StopBound,
                    .retrySlack = item.retrySlack }));
            seeds.push_back(this->instances.back()->peers());
        }
    }

    /** Starts all instances; false if one does not serve. */
    bool start()
    {
        for (const auto& instance : this->instances)
            instance->start();
        return std::all_of(this->instances.begin(), this->instances.end(), [this](const auto& instance) {
            return waitFor(Patience, [&] { return instance->isReady() && this->isServed(*instance); });
        });
    }

    /** Cuts the first instance off from the server; false if other instances do not relay for it. */
    bool cut()
    {
        std::ofstream(this->cutPorts) << this->server.address().port << '\n' << std::flush;
        std::size_t served = 0;
        constexpr std::size_t wanted = 10;
        return waitFor(Patience, [&] {
            served = this->isServed(*this->instances.front()) ? served + 1 : 0;
            return served == wanted;
        });
    }

    /** The instance with the most connections that it relays, or null if none relays any. */
    CrowdInstance* busiestRelay()
    {
        CrowdInstance* busiest = nullptr;
        double most = 0;
        for (const auto& instance : this->instances) {
            const double open = instance->metric("burlreach_open_relays");
            if (open <= most)
                continue;
            most = open;
            busiest = instance.get();
        }
        return busiest;
    }

    bool isServed(const CrowdInstance& instance)
    {
        const std::string id = "ordinary-" + std::to_string(this->ordinary++);
        const std::string head = "GET /a/length/0 HTTP/1.1\r\nHost: x.example\r\nDeadline-Ms: 3000\r\nRequest-Id: ";
        return callOnce(instance.callers(), head + id + "\r\n\r\n").status == Ok;
    }

    HalvedAnswerServer server;
    std::vector<std::unique_ptr<CrowdInstance>> instances;

private:
    PlatformStoreStandIn store;
    std::string cutPorts;
    std::size_t ordinary = 0;
};

using Callers = std::vector<std::unique_ptr<RelayedCaller>>;

std::size_t countDone(const Callers& callers)
{
    return static_cast<std::size_t>(
        std::count_if(callers.begin(), callers.end(), [](const auto& caller) { return caller->isDone(); }));
}

/** Waits for the moment of the trouble; returns what is missing, or an empty text. */
std::string waitForMoment(const RelayCase& item, RelayFleet& fleet, const Callers& callers)
{
    const bool isAtTheEnd = item.trouble == RelayTrouble::KillAtTheEnd;
    const std::size_t before = fleet.server.sentWhole();
    const bool areHalfAnswered = waitFor(
        Patience, [&] { return fleet.server.inTheMiddle() + countDone(callers) >= callers.size() || isAtTheEnd; });
    if (!areHalfAnswered)
        return "the requests did not reach the server";
    if (!isAtTheEnd && !fleet.server.inTheMiddle())
        return "no answer is in the middle";
    constexpr std::size_t someAnswers = 20;
    if (isAtTheEnd && !waitFor(Patience, [&] { return fleet.server.sentWhole() >= before + someAnswers; }))
        return "the server did not send the answers";
    return {};
}

/** Returns what is missing for the trouble, or an empty text. */
std::string makeTrouble(const RelayCase& item, RelayFleet& fleet, CrowdInstance* relay)
{
    constexpr milliseconds paused{ 300 };
    if (item.trouble == RelayTrouble::ServerResets) {
        fleet.server.reset();
        return {};
    }
    if (!relay)
        return "no instance relays";
    switch (item.trouble) {
    case RelayTrouble::Stop:
        relay->child().expectEnd();
        relay->child().signal(SIGTERM);
        break;
    case RelayTrouble::PauseAndKill:
        relay->child().signal(SIGSTOP);
        std::this_thread::sleep_for(paused);
        [[fallthrough]];
    case RelayTrouble::Kill:
    case RelayTrouble::KillAtTheEnd:
        relay->child().kill();
        break;
    case RelayTrouble::None:
    case RelayTrouble::ServerResets:
        break;
    }
    return {};
}

void judge(const RelayCase& item, const RelayFleet& fleet, const RelayedCaller& caller, RelayResult& result)
{
    const RelayedCaller::Options& request = caller.request();
    const std::string what = request.id + " (" + std::string(nameOf(request.framing)) + ")";
    const std::size_t runs = fleet.server.runs(request.id);
    const unsigned status = caller.status();
    const bool isRight = status == Ok && caller.body() == HalvedAnswerServer::bodyFor(request.id);
    constexpr unsigned firstFailure = 300;
    if (status && status < firstFailure && !isRight)
        result.broken.push_back(what
            + " got as a whole answer what is not the server's: " + std::to_string(caller.body().size()) + " bytes");
    if (!request.mayRepeat && runs > 1)
        result.broken.push_back(what + " ran " + std::to_string(runs) + " times");
    if (!request.mayRepeat && isPromise(status) && runs)
        result.broken.push_back(what + " was answered " + std::to_string(status) + " and has run");
    if (!caller.isDone() || caller.received().empty())
        result.broken.push_back(what + " got no answer");
    if (item.longestFirstByte.count() > 0 && caller.firstByteAfter() > item.longestFirstByte)
        result.broken.push_back(
            what + " waited " + std::to_string(caller.firstByteAfter().count()) + " ms for the first byte");
    if (item.trouble == RelayTrouble::None && isWhole(request.framing) && !isRight)
        result.broken.push_back(what + " did not get the server's answer, but status " + std::to_string(status));
}

void judgeInstances(RelayFleet& fleet, const CrowdInstance* ended, RelayResult& result)
{
    std::size_t most = 0;
    for (const auto& instance : fleet.instances) {
        if (instance.get() == ended)
            continue;
        most = std::max(most, instance->peakMemory());
        if (!instance->isRunning())
            result.broken.emplace_back("a process has ended by itself");
    }
    if (most > MaxProcessBytes)
        result.broken.push_back("memory " + std::to_string(most) + " of " + std::to_string(MaxProcessBytes));
    constexpr std::size_t megabyte = 1000000;
    result.seen += ", " + std::to_string(most / megabyte) + " MB";
    if (!waitFor(Patience, [&] { return fleet.isServed(*fleet.instances.front()); }))
        result.broken.emplace_back("no ordinary request is served afterwards");
}

std::string summary(const Callers& callers)
{
    std::map<unsigned, std::size_t> byStatus;
    for (const auto& caller : callers)
        ++byStatus[caller->status()];
    std::string text = std::to_string(callers.size()) + " callers:";
    for (const auto& [status, count] : byStatus)
        text += " " + std::to_string(count) + (status ? " got " + std::to_string(status) : " got no whole answer");
    return text;
}

}

RelayResult playRelays(const RelayCase& item, const RelayPlayOptions& options)
{
    RelayResult result;
    RelayFleet fleet(item, options);
    if (!fleet.start() || (item.isRelayed && !fleet.cut())) {
        result.broken.emplace_back("the instances did not serve before the trouble");
        return result;
    }
    Callers callers;
    for (std::size_t number = 0; number < item.callers; ++number)
        callers.push_back(
            std::make_unique<RelayedCaller>(RelayedCaller::Options{ .instance = fleet.instances.front()->callers(),
                .id = "caller-" + std::to_string(number),
                .framing = item.framings[number / 2 % item.framings.size()],
                .pause = item.pause + item.pauseStep * static_cast<double>(number),
                .mayRepeat = number % 2 == 0 }));
    CrowdInstance* relay = nullptr;
    if (item.trouble != RelayTrouble::None) {
        if (item.isRelayed)
            waitFor(Patience, [&] { return (relay = fleet.busiestRelay()); });
        const std::string missing = waitForMoment(item, fleet, callers);
        // At the end of the answers there is no time to ask again.
        if (item.isRelayed && item.trouble != RelayTrouble::KillAtTheEnd)
            relay = fleet.busiestRelay();
        const std::string why = missing.empty() ? makeTrouble(item, fleet, relay) : missing;
        if (!why.empty())
            result.broken.push_back("the trouble was not played: " + why);
    }
    waitFor(AnswerPatience, [&] { return countDone(callers) == callers.size(); });
    const auto allDone = countDone(callers);
    const CrowdInstance* ended = item.trouble == RelayTrouble::ServerResets ? nullptr : relay;
    judgeInstances(fleet, ended, result);
    // Ends the callers that still wait.
    if (allDone < callers.size())
        fleet.instances.front()->child().kill();
    waitFor(Patience, [&] { return countDone(callers) == callers.size(); });
    for (const auto& caller : callers)
        judge(item, fleet, *caller, result);
    if (allDone < callers.size())
        result.broken.push_back(std::to_string(callers.size() - allDone) + " callers got no answer in time");
    result.seen = summary(callers) + result.seen;
    return result;
}

}
