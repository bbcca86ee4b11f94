// Runs every fault at every step, and pairs of faults, in virtual time with
// fixed seeds. Prints one line for each cell and the totals at the end.

#include "Tests/FaultMatrix/Cell.h"
#include "Tests/Virtual/LimitPlay.h"
#include "Tests/Virtual/ParallelRuns.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstddef>
#include <iostream>
#include <span>
#include <string>
#include <vector>

namespace {

using namespace burlreach;

/** A cell or a limit scenario to be run, and its result. */
struct Job {
    std::string name;
    const LimitPlay* play = nullptr; // scenario of a large fleet to run in place of a cell
    Step step;
    std::vector<const Fault*> faults;
    std::uint64_t seed = 1;
    std::vector<std::string> broken;
};

std::vector<Job> singleJobs()
{
    std::vector<Job> jobs;
    for (const Step& step : allSteps()) {
        for (const Fault& fault : allFaults())
            jobs.push_back({ .name = step.text() + "/" + std::string(fault.name),
                .step = step,
                .faults = { &fault },
                .seed = jobs.size() + 1,
                .broken = {} });
    }
    return jobs;
}

/** Every pair of faults, with the steps taken in turn. */
std::vector<Job> pairJobs()
{
    std::vector<Job> jobs;
    const auto faults = allFaults();
    for (std::size_t first = 1; first < faults.size(); ++first) {
        for (std::size_t second = first + 1; second < faults.size(); ++second) {
            const Step& step = allSteps()[jobs.size() % allSteps().size()];
            jobs.push_back(
                { .name = step.text() + "/" + std::string(faults[first].name) + "+" + std::string(faults[second].name),
                    .step = step,
                    .faults = { &faults[first], &faults[second] },
                    .seed = 5000 + jobs.size(),
                    .broken = {} });
        }
    }
    return jobs;
}

Job jobOf(const Step& step, std::vector<const Fault*> faults, std::uint64_t seed)
{
    std::string name = step.text();
    for (std::size_t index = 0; index < faults.size(); ++index)
        name.append(index ? "+" : "/").append(faults[index]->name);
    return { .name = std::move(name), .step = step, .faults = std::move(faults), .seed = seed, .broken = {} };
}

/** The later faults at every step, and each with every other fault. */
std::vector<Job> laterJobs()
{
    constexpr std::uint64_t firstSeed = 20000;
    std::vector<Job> jobs;
    const auto add = [&](const Step& step, std::vector<const Fault*> faults) {
        jobs.push_back(jobOf(step, std::move(faults), firstSeed + jobs.size()));
    };
    const auto later = laterFaults();
    for (const Step& step : allSteps()) {
        for (const Fault& fault : later)
            add(step, { &fault });
        add(step, { &later.front(), &later.back() });
    }
    for (const Fault& fault : later) {
        for (const Fault& other : allFaults().subspan(1))
            add(allSteps()[jobs.size() % allSteps().size()], { &other, &fault });
    }
    return jobs;
}

/** Every fault of wordFaults() at every step, with every other fault, and with each other. */
std::vector<Job> wordJobs()
{
    constexpr std::uint64_t firstSeed = 30000;
    std::vector<Job> jobs;
    const auto add = [&](const Step& step, std::vector<const Fault*> faults) {
        jobs.push_back(jobOf(step, std::move(faults), firstSeed + jobs.size()));
    };
    const auto addSomewhere = [&](std::vector<const Fault*> faults) {
        add(allSteps()[jobs.size() % allSteps().size()], std::move(faults));
    };
    const auto words = wordFaults();
    for (const Step& step : allSteps()) {
        for (const Fault& fault : words)
            add(step, { &fault });
    }
    for (const Fault& fault : words) {
        for (const Fault& other : allFaults().subspan(1))
            addSomewhere({ &other, &fault });
        for (const Fault& other : laterFaults())
            addSomewhere({ &other, &fault });
    }
    for (std::size_t first = 0; first < words.size(); ++first) {
        for (std::size_t second = first + 1; second < words.size(); ++second)
            addSomewhere({ &words[first], &words[second] });
    }
    return jobs;
}

/** Every one of these faults at every step, and with every fault of the earlier sets. */
std::vector<Job> jobsOf(std::span<const Fault> tested, std::uint64_t firstSeed)
{
    std::vector<Job> jobs;
    const auto add = [&](const Step& step, std::vector<const Fault*> faults) {
        jobs.push_back(jobOf(step, std::move(faults), firstSeed + jobs.size()));
    };
    for (const Step& step : allSteps()) {
        for (const Fault& fault : tested)
            add(step, { &fault });
    }
    for (const Fault& fault : tested) {
        for (const auto others : { allFaults().subspan(1), laterFaults(), wordFaults() }) {
            for (const Fault& other : others)
                add(allSteps()[jobs.size() % allSteps().size()], { &other, &fault });
        }
    }
    return jobs;
}

/** Limits reported by servers, in fleets of the current and the planned size. */
const std::vector<LimitPlay>& largeFleets()
{
    static const std::vector<LimitPlay> plays{
        { "named-limits/473-instances", 473, 10, 10, 3, { 4 }, [](VirtualFleet&) {} },
        { "named-limits/984-instances", 984, 10, 10, 3, { 4 }, [](VirtualFleet&) {} },
    };
    return plays;
}

}

int main(int argc, char** argv)
{
    CLI::App program("Every fault at every step, in virtual time");
    std::string only;
    program.add_option("--cell", only, "Run only cells whose name contains this");
    CLI11_PARSE(program, argc, argv);

    std::vector<Job> jobs = singleJobs();
    for (Job& job : pairJobs())
        jobs.push_back(std::move(job));
    for (Job& job : laterJobs())
        jobs.push_back(std::move(job));
    for (Job& job : wordJobs())
        jobs.push_back(std::move(job));
    constexpr std::uint64_t firstPathSeed = 60000;
    constexpr std::uint64_t firstUnequalPathSeed = 70000;
    constexpr std::uint64_t firstStopSeed = 80000;
    for (Job& job : jobsOf(pathFaults(), firstPathSeed))
        jobs.push_back(std::move(job));
    for (Job& job : jobsOf(unequalPathFaults(), firstUnequalPathSeed))
        jobs.push_back(std::move(job));
    for (Job& job : jobsOf(stopFaults(), firstStopSeed))
        jobs.push_back(std::move(job));
    const std::size_t cells = jobs.size();
    for (const LimitPlay& play : largeFleets())
        jobs.push_back({ .name = play.name, .play = &play, .step = {}, .faults = {}, .broken = {} });
    // Starts the longest runs first.
    std::rotate(jobs.begin(), jobs.begin() + static_cast<std::ptrdiff_t>(cells), jobs.end());
    std::erase_if(jobs, [&](const Job& job) { return job.name.find(only) == std::string::npos; });
    runInParallel(jobs.size(), [&](std::size_t index) {
        Job& job = jobs[index];
        job.broken = job.play ? played(*job.play) : Cell(job.step, job.faults, job.seed).run();
    });
    std::size_t failed = 0;
    for (const Job& job : jobs) {
        failed += job.broken.empty() ? 0 : 1;
        std::cout << (job.broken.empty() ? "passed " : "FAILED ") << job.name << '\n';
        for (const std::string& sentence : job.broken)
            std::cout << "    " << sentence << '\n';
    }
    std::cout << jobs.size() - failed << " passed, " << failed << " failed\n";
    return failed ? 1 : 0;
}
