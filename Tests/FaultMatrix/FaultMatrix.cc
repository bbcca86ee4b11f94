// Runs every fault at every step in virtual time and prints one line a cell.
// --cell NAME runs the cells whose names begin so.

#include "Tests/FaultMatrix/Cell.h"
#include "Tests/Virtual/ParallelRuns.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>

namespace {

using namespace burlreach;

constexpr std::uint64_t FirstSeed = 7001;
constexpr std::uint64_t PairSeed = 90001;
constexpr std::size_t PairCount = 300;

std::vector<CellPlan> allCells()
{
    std::vector<CellPlan> plans;
    for (std::size_t step = 0; step < static_cast<std::size_t>(Step::Count); ++step) {
        for (std::size_t fault = 0; fault < static_cast<std::size_t>(Fault::Count); ++fault)
            plans.push_back({ .step = static_cast<Step>(step),
                .fault = static_cast<Fault>(fault),
                .second = Fault::None,
                .seed = FirstSeed + plans.size() });
    }
    Random random(PairSeed);
    for (std::size_t pair = 0; pair < PairCount; ++pair) {
        CellPlan plan;
        plan.step = static_cast<Step>(random.below(static_cast<std::size_t>(Step::Count)));
        plan.fault = static_cast<Fault>(1 + random.below(static_cast<std::size_t>(Fault::Count) - 1));
        plan.second = static_cast<Fault>(1 + random.below(static_cast<std::size_t>(Fault::Count) - 1));
        plan.seed = PairSeed + pair;
        plans.push_back(plan);
    }
    return plans;
}

std::vector<CellResult> runAll(const std::vector<CellPlan>& plans)
{
    std::vector<CellResult> results(plans.size());
    runInParallel(plans.size(), [&](std::size_t index) { results[index] = Cell(plans[index]).run(); });
    return results;
}

void print(const CellPlan& plan, const CellResult& result)
{
    std::cout << (result.violations.empty() ? "passed " : "FAILED ") << plan.name()
              << (result.struck ? "" : " (step not reached)") << " answered=" << result.answered
              << " refused=" << result.refused << " unknown=" << result.unknown << '\n';
    constexpr std::size_t mostShown = 5;
    for (std::size_t index = 0; index < std::min(mostShown, result.violations.size()); ++index)
        std::cout << "    " << result.violations[index] << '\n';
}

}

int main(int argc, char** argv)
{
    CLI::App program("Fault matrix in virtual time");
    std::string wanted;
    program.add_option("--cell", wanted, "Run only the cells whose names begin with this");
    CLI11_PARSE(program, argc, argv);
    std::vector<CellPlan> plans = allCells();
    std::erase_if(plans, [&](const CellPlan& plan) { return !plan.name().starts_with(wanted); });
    const std::vector<CellResult> results = runAll(plans);
    std::size_t failed = 0;
    for (std::size_t index = 0; index < plans.size(); ++index) {
        print(plans[index], results[index]);
        failed += results[index].violations.empty() ? 0 : 1;
    }
    std::cout << plans.size() - failed << " passed, " << failed << " failed\n";
    return failed ? 1 : 0;
}
