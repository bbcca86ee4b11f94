#include "Attempts/RetryBudget.h"

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

constexpr int Seconds = 40;
constexpr Milliseconds Window{ 10000 };

}

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, TheFleetStaysWithinItsBoundInEveryWindow)
{
    for (const Case& item : Cases) {
        std::vector<RetryBudget> budgets(
            item.instances, RetryBudget({ .share = item.share, .slack = item.slack, .window = Window }));
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

TEST(RetryBudget, AllowsMostOfTheShareWhenRequestsCome)
{
    RetryBudget budget({ .share = 0.2, .slack = 0, .window = Window });
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
    RetryBudget budget({ .share = 0.2, .slack = 0, .window = Window });
    for (int first = 0; first < 100; ++first)
        budget.firstAttempt({ 0 });
    while (budget.takeForHedge({ 0 })) { }
    CHECK(budget.take({ 0 }));
}
