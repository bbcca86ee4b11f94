// Runs the benchmarks in virtual time and prints the results as one JSON object.
// --check FILE compares them with the bounds in FILE and exits with 1 when one is violated.

#include "Benchmarks/PolicyRun.h"
#include "Tests/Virtual/ParallelRuns.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace {

using namespace burlreach;
using nlohmann::json;

constexpr std::uint64_t FirstSeed = 501;
constexpr std::size_t Seeds = 6;
constexpr std::size_t CaseCount = static_cast<std::size_t>(Disturbance::Count);

/** One run and its results. */
struct Job {
    Disturbance disturbance;
    std::size_t contender;
    std::uint64_t seed;
    RunFigures figures;
};

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

double rounded(double value)
{
    constexpr double thousand = 1000;
    return std::round(value * thousand) / thousand;
}

json describe(const std::vector<const RunFigures*>& runs)
{
    std::vector<double> pooled;
    double sent = 0;
    double inTime = 0;
    double arrivals = 0;
    double probes = 0;
    double worst = 0;
    const auto count = static_cast<double>(runs.size());
    for (const RunFigures* run : runs) {
        pooled.insert(pooled.end(), run->milliseconds.begin(), run->milliseconds.end());
        sent += static_cast<double>(run->sent);
        inTime += static_cast<double>(run->inTime);
        arrivals += run->arrivalsPerRequest / count;
        probes += run->probesPerRequest / count;
        worst += run->worstInTime / count;
    }
    return {
        { "p50", rounded(quantile(pooled, 0.5)) },
        { "p99", rounded(quantile(pooled, 0.99)) },
        { "share_in_time", rounded(inTime / std::max(sent, 1.0)) },
        { "share_in_time_of_worst_two_seconds", rounded(worst) },
        { "share_answered", rounded(static_cast<double>(pooled.size()) / std::max(sent, 1.0)) },
        { "arrivals_per_request", rounded(arrivals) },
        { "probes_per_request", rounded(probes) },
    };
}

/** Runs the cases whose names contain this text, and returns their results by case and contender. */
json policyFigures(const std::string& part)
{
    const std::vector<Contender> all = contenders();
    std::vector<Job> jobs;
    for (std::size_t disturbance = 0; disturbance < CaseCount; ++disturbance) {
        if (nameOf(static_cast<Disturbance>(disturbance)).find(part) == std::string_view::npos)
            continue;
        for (std::size_t contender = 0; contender < all.size(); ++contender) {
            for (std::size_t seed = 0; seed < Seeds; ++seed)
                jobs.push_back({ .disturbance = static_cast<Disturbance>(disturbance),
                    .contender = contender,
                    .seed = FirstSeed + seed,
                    .figures = {} });
        }
    }
    runInParallel(jobs.size(), [&](std::size_t index) {
        Job& job = jobs[index];
        job.figures = PolicyRun(job.disturbance, all[job.contender], job.seed).run();
    });
    json figures;
    for (std::size_t first = 0; first < jobs.size(); first += Seeds) {
        std::vector<const RunFigures*> runs;
        for (std::size_t index = first; index < first + Seeds; ++index)
            runs.push_back(&jobs[index].figures);
        figures[std::string(nameOf(jobs[first].disturbance))][all[jobs[first].contender].name] = describe(runs);
    }
    return figures;
}

/** Checks the results against the bounds in a file: a JSON pointer for each, with at_most or at_least. */
int check(const json& figures, const std::string& path)
{
    std::ifstream file(path);
    const json bounds = json::parse(file);
    int broken = 0;
    for (const auto& [pointer, bound] : bounds.items()) {
        const double value = figures.at(json::json_pointer(pointer)).get<double>();
        const bool isHigh = bound.contains("at_most") && value > bound["at_most"].get<double>();
        const bool isLow = bound.contains("at_least") && value < bound["at_least"].get<double>();
        if (!isHigh && !isLow)
            continue;
        ++broken;
        std::cerr << pointer << " is " << value << ", outside its bound " << bound.dump() << '\n';
    }
    std::cerr << bounds.size() - static_cast<std::size_t>(broken) << " bounds met, " << broken << " violated\n";
    return broken ? 1 : 0;
}

}

int main(int argc, char** argv)
{
    CLI::App program("Benchmarks in virtual time");
    std::string bounds;
    program.add_option("--check", bounds, "Compare with the bounds in this file");
    std::string part;
    program.add_option("--case", part, "Only the policy cases whose names hold this");
    CLI11_PARSE(program, argc, argv);
    const json figures{ { "policy", policyFigures(part) } };
    std::cout << figures.dump(1) << '\n';
    return bounds.empty() ? 0 : check(figures, bounds);
}
