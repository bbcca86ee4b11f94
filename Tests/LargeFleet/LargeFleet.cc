// Plays the start of fleets of slow instances, up to 984 with 10,000 backend
// servers, in virtual time. Prints what each play has shown, and what it broke.
//
// Guards against changes that reach a large fleet late. Hundreds of instances that
// missed changes asked one instance, which answered them one by one for 13 s, also
// those that had the changes by then; its updates and the next configuration waited
// behind the answers, and meanwhile every instance watched the store itself.

#include "Tests/LargeFleet/StartPlay.h"
#include "Tests/Virtual/ParallelRuns.h"

#include <CLI/CLI.hpp>
#include <cmath>
#include <iostream>
#include <vector>

namespace {

using namespace burlreach;

const std::vector<StartPlay> Plays{
    { .name = "fleet-of-2", .instances = 2, .strong = 1, .servers = 20 },
    { .name = "fleet-of-24", .instances = 24, .strong = 18, .servers = 240 },
    { .name = "fleet-of-300", .instances = 300, .strong = 12, .servers = 3000 },
    { .name = "fleet-of-984", .instances = 984, .strong = 36, .servers = 10000 },
    { .name = "return-of-984", .instances = 984, .strong = 36, .servers = 10000, .isReturn = true },
    { .name = "weak-fleet-of-984", .instances = 984, .strong = 0, .servers = 10000 },
};

std::string textOf(const StartResult& result)
{
    if (result.inForceAfter.empty()) {
        return "a quarter ready after " + std::to_string(std::lround(std::min(result.quarterReadyAfter.count, 1e6)))
            + " ms, " + std::to_string(result.ready) + " ready, watches " + std::to_string(result.watches);
    }
    std::string text = "in force after";
    for (const Milliseconds after : result.inForceAfter)
        text += after == Never ? " never" : " " + std::to_string(std::lround(after.count));
    return text + " ms, pulls " + std::to_string(result.pulls) + ", packed " + std::to_string(result.packings)
        + ", watches " + std::to_string(result.watches) + ", messages "
        + std::to_string(std::lround(result.peerMegabytes)) + " MB, longest wait "
        + std::to_string(std::lround(result.longestWait.count)) + " ms";
}

}

int main(int argc, char** argv)
{
    CLI::App app("Plays the start of large fleets in virtual time");
    std::string only;
    app.add_option("--play", only, "Only plays whose name begins with this");
    CLI11_PARSE(app, argc, argv);
    std::vector<StartPlay> plays;
    for (const StartPlay& play : Plays) {
        if (play.name.starts_with(only))
            plays.push_back(play);
    }
    std::vector<StartResult> results(plays.size());
    runInParallel(plays.size(), [&](std::size_t index) { results[index] = playStart(plays[index]); });
    std::size_t failed = 0;
    for (std::size_t index = 0; index < plays.size(); ++index) {
        const auto broken = brokenBounds(results[index]);
        failed += broken.empty() ? 0 : 1;
        std::cout << (broken.empty() ? "passed " : "failed ") << plays[index].name << ": " << textOf(results[index])
                  << '\n';
        for (const std::string& line : broken)
            std::cout << "    " << line << '\n';
    }
    std::cout << plays.size() - failed << " passed, " << failed << " failed\n";
    return failed ? 1 : 0;
}
