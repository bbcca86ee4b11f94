// Runs the benchmarks in virtual time and prints one JSON object. --check FILE
// compares with committed bounds and exits 1 past one.

#include "Benchmarks/PolicyRun.h"
#include "Benchmarks/Slopes.h"
#include "Benchmarks/SpreadSlopes.h"
#include "Tests/Virtual/ParallelRuns.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace {

using namespace burlreach;
using nlohmann::json;

constexpr std::uint64_t FirstSeed = 501;
constexpr std::size_t Seeds = 10;
constexpr std::size_t CaseCount = static_cast<std::size_t>(Disturbance::Count);
constexpr std::size_t KindCount = static_cast<std::size_t>(RequestKind::Count);

struct Job {
    Disturbance disturbance;
    std::size_t contender;
    std::uint64_t seed;
    RunResult result;
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

json describeKind(const std::vector<const RunResult*>& runs, std::size_t kind)
{
    std::vector<double> pooled;
    std::vector<double> p99OfSeeds;
    double sent = 0;
    double inTime = 0;
    for (const RunResult* run : runs) {
        const KindResult& result = run->kinds[kind];
        pooled.insert(pooled.end(), result.milliseconds.begin(), result.milliseconds.end());
        p99OfSeeds.push_back(quantile(result.milliseconds, 0.99));
        sent += static_cast<double>(result.sent);
        inTime += static_cast<double>(result.inTime);
    }
    return {
        { "p50", rounded(quantile(pooled, 0.5)) },
        { "p99", rounded(quantile(pooled, 0.99)) },
        { "p999", rounded(quantile(pooled, 0.999)) },
        { "p99_least_of_seeds", rounded(quantile(p99OfSeeds, 0)) },
        { "p99_most_of_seeds", rounded(quantile(p99OfSeeds, 1)) },
        { "share_in_time", rounded(inTime / sent) },
    };
}

json describe(const std::vector<const RunResult*>& runs)
{
    json described;
    for (std::size_t kind = 0; kind < KindCount; ++kind)
        described[std::string(nameOf(static_cast<RequestKind>(kind)))] = describeKind(runs, kind);
    double extra = 0;
    double goodput = 0;
    double probes = 0;
    double bytes = 0;
    const auto count = static_cast<double>(runs.size());
    json refusals = json::object();
    for (const RunResult* run : runs) {
        extra += run->extraPerFirst / count;
        goodput += run->goodput / count;
        probes += run->probeMilliseconds / count;
        bytes += run->innerBytes / count;
        for (const auto& [reason, number] : run->refusals)
            refusals[reason] = refusals.value(reason, std::size_t{ 0 }) + number;
    }
    described["retries_and_hedges_per_first_attempt"] = rounded(extra);
    described["goodput_share_of_capacity"] = rounded(goodput);
    described["probe_milliseconds_per_server_second"] = rounded(probes);
    described["inner_bytes_per_node_second"] = rounded(bytes);
    described["refusals"] = refusals;
    return described;
}

json policyFigures()
{
    const std::vector<Contender> all = contenders();
    std::vector<Job> jobs;
    for (std::size_t disturbance = 0; disturbance < CaseCount; ++disturbance) {
        for (std::size_t contender = 0; contender < all.size(); ++contender) {
            for (std::size_t seed = 0; seed < Seeds; ++seed)
                jobs.push_back({ .disturbance = static_cast<Disturbance>(disturbance),
                    .contender = contender,
                    .seed = FirstSeed + seed,
                    .result = {} });
        }
    }
    runInParallel(jobs.size(), [&](std::size_t index) {
        Job& job = jobs[index];
        job.result = PolicyRun(job.disturbance, all[job.contender], job.seed).run();
    });
    json figures;
    for (std::size_t first = 0; first < jobs.size(); first += Seeds) {
        std::vector<const RunResult*> runs;
        for (std::size_t index = first; index < first + Seeds; ++index)
            runs.push_back(&jobs[index].result);
        figures[std::string(nameOf(jobs[first].disturbance))][all[jobs[first].contender].name] = describe(runs);
    }
    return figures;
}

/** The goals of the users' pages; a missed goal is printed as missed. */
json goals(const json& figures)
{
    json list = json::array();
    const auto add = [&](const std::string& name, double value, double bound, bool atMost) {
        const bool isMet = atMost ? value <= bound : value >= bound;
        list.push_back({ { "goal", name }, { "value", rounded(value) }, { "bound", bound }, { "met", isMet } });
    };
    constexpr double disturbedBound = 0.7;
    constexpr double steadyBound = 1.02;
    constexpr double withoutProbesBound = 1.15;
    constexpr double extraBound = 0.1;
    constexpr double goodputBound = 0.95;
    for (const auto& [name, contendersOfCase] : figures.items()) {
        double best = 0;
        for (const auto& [contender, figure] : contendersOfCase.items()) {
            const double p99 = figure["search"]["p99"];
            if (!contender.starts_with("burlreach") && (best == 0 || p99 < best))
                best = p99;
        }
        const json& own = contendersOfCase["burlreach"];
        const double p99 = own["search"]["p99"];
        add(name + ": p99 of searches against the best baseline", p99 / best,
            name == "steady" ? steadyBound : disturbedBound, true);
        add(name + ": p99 of searches without probes against with",
            contendersOfCase["burlreach-without-probes"]["search"]["p99"].get<double>() / p99, withoutProbesBound,
            true);
        add(name + ": retries and hedges per first attempt", own["retries_and_hedges_per_first_attempt"], extraBound,
            true);
        if (name == "overload")
            add(name + ": goodput as a share of capacity", own["goodput_share_of_capacity"], goodputBound, false);
    }
    return list;
}

/** Bounds are "case/figure path": highest value; ratios and virtual time only. */
bool withinBounds(const json& result, const std::string& path)
{
    std::ifstream file(path);
    const json bounds = json::parse(file);
    bool allWithin = true;
    for (const auto& [pointer, range] : bounds.items()) {
        const double value = result.at(json::json_pointer(pointer));
        const bool isWithin = value >= range.value("at_least", value) && value <= range.value("at_most", value);
        if (!isWithin)
            std::cerr << pointer << " is " << value << ", outside of " << range.dump() << '\n';
        allWithin = allWithin && isWithin;
    }
    return allWithin;
}

}

int main(int argc, char** argv)
{
    CLI::App program("Benchmarks in virtual time, and slopes of one node");
    std::string bounds;
    bool withSlopes = false;
    program.add_option("--check", bounds, "File of bounds to compare with");
    program.add_flag("--slopes", withSlopes, "Also measure one node against the number of peers and services");
    CLI11_PARSE(program, argc, argv);
    json result;
    result["policy"] = policyFigures();
    result["goals"] = goals(result["policy"]);
    if (withSlopes) {
        result["slopes"] = measureSlopes();
        result["spread"] = measureSpread();
    }
    std::cout << result.dump(1) << '\n';
    return bounds.empty() || withinBounds(result, bounds) ? 0 : 1;
}
