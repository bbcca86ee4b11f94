// The randomized fault soak: real processes on loopback, faults injected by
// signals, proxies, and control ports of the stand-ins, and guarantees checked
// from what callers and backend servers recorded. Prints one line for each
// seed; exits with 1 if a guarantee was broken, and keeps the logs of that seed.

#include "Tests/Soak/SoakChecker.h"
#include "Tests/Soak/SoakFleet.h"
#include "Tests/Soak/SoakPlan.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <filesystem>
#include <iostream>
#include <thread>

using namespace burlreach;

namespace {

constexpr double MillisecondsPerSecond = 1000;
constexpr int CalmSeconds = 2;
/** The memory that the deployments' instances have. */
constexpr std::size_t MaxInstanceBytes = 260000000;
/** The memory of an instance's machine in runs with callers that don't behave, in megabytes. */
constexpr std::size_t LittleMemory = 64;
constexpr std::size_t BytesPerMegabyte = 1000000;
/** A planned stop that is under way may take 10 s of this time. */
constexpr Milliseconds SettlePatience{ 25000 };

struct SoakOptions {
    std::string build;
    std::string folder = "soak";
    std::vector<std::uint64_t> seeds;
    std::size_t instances = 3;
    std::size_t servers = 4;
    int seconds = 10;
    std::uint16_t firstPort = 21000;
};

/** The beginning or the end of a step. */
struct Moment {
    Milliseconds at;
    const SoakStep* step = nullptr;
    bool isEnd = false;
};

std::vector<Moment> momentsOf(const std::vector<SoakStep>& steps)
{
    std::vector<Moment> moments;
    for (const SoakStep& step : steps) {
        moments.push_back({ .at = step.at, .step = &step, .isEnd = false });
        moments.push_back({ .at = step.at + step.lasts, .step = &step, .isEnd = true });
    }
    std::stable_sort(
        moments.begin(), moments.end(), [](const Moment& left, const Moment& right) { return left.at < right.at; });
    return moments;
}

void play(SoakFleet& fleet, const std::vector<SoakStep>& steps)
{
    const auto begun = std::chrono::steady_clock::now();
    for (const Moment& moment : momentsOf(steps)) {
        std::this_thread::sleep_until(begun
            + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                std::chrono::duration<double, std::milli>(moment.at.count)));
        if (moment.isEnd)
            fleet.end(*moment.step);
        else
            fleet.begin(*moment.step);
        fleet.tend();
    }
}

/** A run with relays needs some instances that are neither cut off nor ending. */
constexpr std::size_t InstancesWithRelays = 6;

/** Runs the plan of one seed; returns one sentence for each broken guarantee. */
std::vector<std::string> run(const SoakOptions& options, std::uint64_t seed, const std::string& folder)
{
    const std::size_t instances = hasRelays(seed) ? InstancesWithRelays : options.instances;
    SoakFleet fleet({ .build = options.build,
        .folder = folder,
        .instances = instances,
        .servers = options.servers,
        .firstPort = options.firstPort,
        .hasCrashingRequest = hasCrashingRequest(seed),
        .hasLongRequests = hasSpoiltAnswers(seed) || hasRelays(seed),
        .hasRelays = hasRelays(seed),
        .memoryMegabytes = hasUnrulyCallers(seed) ? LittleMemory : 0 });
    if (!fleet.start())
        return { "the fleet did not start" };
    const std::vector<SoakStep> steps = planOf({ .seed = seed,
        .instances = instances,
        .servers = options.servers,
        .length = { options.seconds * MillisecondsPerSecond } });
    const auto callers = fleet.startCallers("run", options.seconds, seed);
    const auto neighbours = fleet.crashes() ? fleet.startNeighbours(options.seconds) : nullptr;
    if (fleet.crashes())
        fleet.crashes()->startSending();
    play(fleet, steps);
    callers->wait();
    if (fleet.crashes())
        fleet.crashes()->stopSending();
    fleet.heal();
    const bool hasSettled = fleet.settles(SettlePatience);
    const auto calm = fleet.startCallers("calm", CalmSeconds, seed);
    calm->wait();
    SoakChecker checker(fleet);
    const CallersResult told = SoakChecker::read(fleet.pathOf("run.json"));
    const CallersResult afterwards = SoakChecker::read(fleet.pathOf("calm.json"));
    checker.check(told);
    checker.check(afterwards);
    checker.checkAllAnswered(afterwards);
    checker.checkNothingUnread();
    const RetryCount retries = checker.checkRetries(SoakFleet::retryLimits());
    if (isPlannedOnly(seed) || hasSpoiltAnswers(seed))
        checker.checkNothingCut(told);
    const std::size_t mostBytes = hasUnrulyCallers(seed) ? LittleMemory * BytesPerMegabyte : MaxInstanceBytes;
    if (fleet.peakMemory() > mostBytes)
        checker.note("an instance took " + std::to_string(fleet.peakMemory()) + " bytes of memory");
    if (hasServerWords(seed))
        checker.checkWords();
    if (fleet.crashes()) {
        neighbours->wait();
        checker.checkNeighbours(SoakChecker::read(fleet.pathOf("neighbours.json")));
        for (const std::string& sentence : fleet.crashes()->broken())
            checker.note(sentence);
        std::cout << "seed " << seed << ": " << fleet.crashes()->ends() << " servers crashed on a request\n";
    }
    if (!hasSettled)
        checker.note("not every instance was ready with the latest accepted change after 25 s");
    for (const std::string& name : fleet.failures())
        checker.note(name + " ended unexpectedly or with a failure");
    std::cout << "seed " << seed << ": " << steps.size() << " faults,";
    for (const auto& [outcome, count] : told.outcomes)
        std::cout << ' ' << count << ' ' << outcome << ',';
    if (hasRelays(seed))
        std::cout << " relayed " << fleet.relayedAttempts() << " since the last starts,";
    std::cout << " most repeats in a window " << retries.arrivals << " of " << retries.allowed << " allowed,";
    std::cout << ' ' << checker.findings().size() << " broken\n" << std::flush;
    return checker.findings();
}

bool playSeed(const SoakOptions& options, std::uint64_t seed)
{
    const std::string folder = options.folder + "/seed-" + std::to_string(seed);
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    const std::vector<std::string> broken = run(options, seed, folder);
    for (const std::string& finding : broken)
        std::cout << "BROKEN seed " << seed << ": " << finding << '\n';
    if (broken.empty())
        std::filesystem::remove_all(folder);
    return broken.empty();
}

}

int main(int argc, char** argv)
{
    CLI::App program("Injects random faults into real processes and checks the guarantees");
    SoakOptions options;
    program.add_option("--build", options.build, "Build folder with the programs")->required();
    program.add_option("--folder", options.folder, "Folder for logs; those of broken seeds are kept");
    program.add_option("--seed", options.seeds, "Seeds to run")->required();
    program.add_option("--instances", options.instances, "Number of burlreach instances");
    program.add_option("--servers", options.servers, "Number of backend servers");
    program.add_option("--seconds", options.seconds, "Length of each run in seconds");
    program.add_option("--first-port", options.firstPort, "Lowest port used on 127.0.0.1");
    CLI11_PARSE(program, argc, argv);
    std::size_t failed = 0;
    for (const std::uint64_t seed : options.seeds)
        failed += playSeed(options, seed) ? 0 : 1;
    std::cout << options.seeds.size() - failed << " passed, " << failed << " failed\n";
    return failed ? 1 : 0;
}
