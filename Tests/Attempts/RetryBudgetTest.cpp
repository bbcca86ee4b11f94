#include "Attempts/RetryBudget.h"

#include <algorithm>
#include <optional>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

/** A fleet whose instances retry as often as their budgets allow. */
struct Case {
    const char* name;
    std::size_t instances;
    std::size_t knownInstances; // fleet size known to each instance
    double share;
    double slack;
    int firstsPerSecond; // of each instance
};

const std::vector<Case> Cases{
    { "one instance", 1, 1, 0.2, 64, 100 },
    { "instances that know the whole fleet", 18, 18, 0.2, 64, 8 },
    { "instances that do not know each other", 18, 1, 0.2, 64, 8 },
    { "many instances with few requests", 142, 142, 0.2, 218, 6 },
    { "no share", 18, 18, 0, 0, 8 },
};

/** A fleet whose instances are all replaced at certain times, and which does not retry before the first of them. */
struct ReplacedFleet {
    const char* name;
    std::size_t instances;
    double slack;
    double firstsPerSecond; // of each instance
    std::vector<double> replacedAt; // milliseconds
    double unknownFor; // milliseconds from the start of a life during which the size of the fleet is unknown
    double replacedShare = 1; // of the instances
};

const std::vector<ReplacedFleet> ReplacedFleets{
    { "2 instances", 2, 52, 10, { 15000, 17000, 19000 }, 3000 },
    { "13 instances, once", 13, 64, 8, { 15000 }, 0 },
    { "13 instances, eight times", 13, 64, 8, { 14000, 16000, 18000, 20000, 22000, 24000, 26000, 28000 }, 0 },
    { "95 instances, never", 95, 158, 1.6, {}, 0 },
    { "95 instances, once, with the size known at once", 95, 158, 1.6, { 15000 }, 0 },
    { "95 instances, three times", 95, 158, 1.6, { 15000, 18000, 21000 }, 3000 },
    { "95 instances, every half second", 95, 158, 1.6, { 15000, 15500, 16000, 16500, 17000, 17500, 18000 }, 0 },
    { "half of 95 instances, three times", 95, 158, 1.6, { 15000, 18000, 21000 }, 0, 0.5 },
    { "473 instances, three times", 473, 630, 1, { 15000, 18000, 21000 }, 0 },
    { "984 instances with many requests", 984, 1040, 1.6, { 15000, 18000, 21000 }, 0 },
    { "984 instances with few requests", 984, 1040, 0.3, { 15000, 18000, 21000 }, 0 },
};

/** The retries and first attempts of a fleet, in steps of a tenth of a second. */
struct Played {
    std::vector<double> firsts;
    std::vector<double> retries;
};

constexpr double Step = 100; // milliseconds
constexpr std::size_t StepsPerWindow = 100;

Played play(const ReplacedFleet& fleet, double demandFrom)
{
    const RetryLimits limits{ .share = 0.2, .slack = fleet.slack, .window = { StepsPerWindow * Step } };
    constexpr std::size_t steps = 400;
    Random random(3);
    std::vector<RetryBudget> budgets;
    std::vector<double> beganAt(fleet.instances, -fleet.unknownFor);
    for (std::size_t instance = 0; instance < fleet.instances; ++instance)
        budgets.emplace_back(limits, Random(random.number()));
    const auto replaced = static_cast<std::size_t>(fleet.replacedShare * static_cast<double>(fleet.instances));
    Played played{ .firsts = std::vector<double>(steps), .retries = std::vector<double>(steps) };
    for (std::size_t step = 0; step < steps; ++step) {
        const double now = static_cast<double>(step) * Step;
        const bool isReplacing = std::count(fleet.replacedAt.begin(), fleet.replacedAt.end(), now) > 0;
        for (std::size_t instance = 0; instance < fleet.instances; ++instance) {
            RetryBudget& budget = budgets[instance];
            if (isReplacing && instance < replaced) {
                budget = RetryBudget(limits, Random(random.number()));
                beganAt[instance] = now;
            }
            const bool isKnown = now - beganAt[instance] >= fleet.unknownFor;
            budget.setInstances(isKnown ? std::optional(fleet.instances) : std::nullopt);
            if (random.unit() < fleet.firstsPerSecond * Step / 1000) {
                budget.firstAttempt({ now });
                ++played.firsts[step];
            }
            while (now >= demandFrom && budget.take({ now }))
                ++played.retries[step];
        }
    }
    return played;
}

double sumOf(const std::vector<double>& counts, std::size_t from, std::size_t until)
{
    double sum = 0;
    for (std::size_t step = from; step < until; ++step)
        sum += counts[step];
    return sum;
}

constexpr int Seconds = 40;
constexpr Milliseconds Window{ 10000 };

}

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, TheFleetStaysWithinItsBoundInEveryWindow)
{
    for (const Case& item : Cases) {
        std::vector<RetryBudget> budgets;
        for (std::size_t instance = 0; instance < item.instances; ++instance)
            budgets.emplace_back(
                RetryLimits{ .share = item.share, .slack = item.slack, .window = Window }, Random(instance));
        std::vector<int> retriesAt(Seconds, 0);
        for (int second = 0; second < Seconds; ++second) {
            for (RetryBudget& budget : budgets) {
                budget.setInstances(item.knownInstances);
                const Milliseconds now{ second * 1000.0 };
                for (int first = 0; first < item.firstsPerSecond; ++first)
                    budget.firstAttempt(now);
                while (budget.take(now))
                    ++retriesAt[static_cast<std::size_t>(second)];
            }
        }
        const double firsts = static_cast<double>(item.instances) * item.firstsPerSecond * 10;
        for (std::size_t start = 0; start + 10 <= retriesAt.size(); ++start) {
            int retries = 0;
            for (std::size_t second = start; second < start + 10; ++second)
                retries += retriesAt[second];
            CHECK_TEXT(retries <= item.share * firsts + item.slack, item.name);
        }
    }
}

TEST(RetryBudget, ReplacedInstancesDoNotSpendTheBoundAgain)
{
    // All retries at once from the first replacement on, after a calm time in which nothing was spent.
    constexpr double demandFrom = 14000;
    for (const ReplacedFleet& fleet : ReplacedFleets) {
        const Played played = play(fleet, demandFrom);
        for (std::size_t start = 0; start + StepsPerWindow <= played.retries.size(); ++start) {
            const std::size_t end = start + StepsPerWindow;
            const double firsts = sumOf(played.firsts, start, end);
            CHECK_TEXT(sumOf(played.retries, start, end) <= 0.2 * firsts + fleet.slack, fleet.name);
        }
        // The first attempts alone allow this much, less what the lives that ended had not used.
        constexpr std::size_t steps = 400;
        const auto from = static_cast<std::size_t>(demandFrom / Step);
        CHECK_TEXT(sumOf(played.retries, from, steps) >= 0.14 * sumOf(played.firsts, from, steps), fleet.name);
    }
}

TEST(RetryBudget, EarnsNothingFromTheSlackWhileTheFleetIsUnknown)
{
    RetryBudget budget({ .share = 0.2, .slack = 1000, .window = Window }, Random(1));
    for (int second = 0; second < Seconds; ++second)
        CHECK(!budget.take({ second * 1000.0 }));
    budget.setInstances(20);
    CHECK(budget.take({ (Seconds + 1) * 1000.0 }));
}

TEST(RetryBudget, AllowsMostOfTheShareWhenRequestsCome)
{
    RetryBudget budget({ .share = 0.2, .slack = 0, .window = Window }, Random(1));
    int retries = 0;
    for (int second = 0; second < Seconds; ++second) {
        for (int first = 0; first < 100; ++first)
            budget.firstAttempt({ second * 1000.0 });
        while (budget.take({ second * 1000.0 }))
            ++retries;
    }
    CHECK(retries >= 0.15 * 100 * Seconds);
}

TEST(RetryBudget, HedgesLeaveAPartToRetries)
{
    RetryBudget budget({ .share = 0.2, .slack = 0, .window = Window }, Random(1));
    for (int first = 0; first < 100; ++first)
        budget.firstAttempt({ 0 });
    while (budget.takeForHedge({ 0 })) { }
    CHECK(budget.take({ 0 }));
}
