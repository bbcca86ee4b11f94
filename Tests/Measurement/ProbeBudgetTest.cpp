#include "Measurement/ProbeBudget.h"

#include "Base/Random.h"

#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

TEST_GROUP(ProbeBudget){};

TEST(ProbeBudget, StaysWithinTheBudgetInEverySecondWhateverProbesTake)
{
    struct Case {
        double budget;
        double usual; // what probes take
        double spread;
        bool probesAtAll;
    };
    const std::vector<Case> cases{ { 30, 6, 0, true }, { 12, 6, 5, true }, { 100, 20, 19, true }, { 30, 1, 1, true },
        { 0, 6, 0, false } };
    for (const Case& item : cases) {
        ProbeBudget budget({ item.budget });
        Random random(7);
        std::vector<Milliseconds> begins;
        std::vector<Milliseconds> lengths;
        Milliseconds now;
        while (now.count < 20000) {
            if (!budget.hasRoom(now)) {
                now = now + Milliseconds{ 5 };
                continue;
            }
            const Milliseconds wanted{ item.usual + item.spread * (2 * random.unit() - 1) };
            const Milliseconds took = std::min(wanted, budget.longestProbe());
            budget.started(begins.size(), now);
            begins.push_back(now);
            lengths.push_back(took);
            now = now + took;
            budget.ended(begins.size() - 1, took, now);
        }
        CHECK_EQUAL(item.probesAtAll, !begins.empty());
        for (std::size_t first = 0; first < begins.size(); ++first) {
            double sum = 0;
            for (std::size_t other = first; other < begins.size() && begins[other] < begins[first] + Second; ++other)
                sum += lengths[other].count;
            CHECK(sum <= item.budget + 1e-9);
        }
    }
}
