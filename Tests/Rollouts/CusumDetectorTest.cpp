#include "Base/Random.h"
#include "Rollouts/FleetEvidence.h"
#include "Rollouts/RolloutPlan.h"

#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

struct Case {
    const char* name;
    double usualShare; // of bad answers
    double targetShare;
    unsigned goodBefore; // answers of the target version that are as good as the usual ones, before it gets worse
    unsigned mostAnswers; // within which it must be found bad after that; 0: it must not be found bad
};

const std::vector<Case> Cases{
    { "no bad answers in both", 0, 0, 0, 0 },
    { "rare bad answers in both", 0.002, 0.002, 0, 0 },
    { "as bad as before", 0.1, 0.1, 0, 0 },
    { "a third fails", 0, 0.3, 0, 60 },
    { "a third fails after a long time", 0, 0.3, 5000, 60 },
    { "all fail", 0, 1, 0, 5 },
    { "four times the usual share", 0.1, 0.4, 0, 120 },
    { "a fifth fails", 0.002, 0.2, 0, 90 },
};

}

TEST_GROUP(CusumDetector){};

TEST(CusumDetector, DetectsAWorseVersionSoonAndAcceptsAGoodOne)
{
    constexpr unsigned runs = 60;
    constexpr unsigned longest = 6000;
    for (const Case& item : Cases) {
        unsigned late = 0;
        for (unsigned run = 0; run < runs; ++run) {
            Random random(run + 1);
            CusumDetector test;
            unsigned count = 0;
            while (count < longest && !test.isBad()) {
                const double share = count < item.goodBefore ? item.usualShare : item.targetShare;
                test.add({ .all = 1, .bad = random.unit() < share ? 1U : 0U }, item.usualShare);
                ++count;
            }
            const unsigned most = item.goodBefore + item.mostAnswers;
            late += item.mostAnswers ? (!test.isBad() || count > most) : test.isBad();
        }
        // The test is statistical: three of 60 runs may be slower, or find a good version bad.
        CHECK_TEXT(late <= 3, (std::string(item.name) + ": " + std::to_string(late)).c_str());
    }
}

TEST(CusumDetector, CountsRepeatedAndReorderedReportsOnce)
{
    FleetEvidence evidence;
    const auto counts = [](std::uint64_t all, std::uint64_t bad) {
        return CountsByRoute{ { "r", { .usual = { .all = 100, .bad = 0 }, .target = { .all = all, .bad = bad } } } };
    };
    for (int times = 0; times < 10; ++times)
        evidence.recordCounts("entry-1", 1, counts(10, 2));
    evidence.recordCounts("entry-1", 1, counts(5, 1));
    LONGS_EQUAL(10, evidence.total().target.all);
    LONGS_EQUAL(2, evidence.total().target.bad);
    CHECK_FALSE(evidence.isBad());
    // A new life counts from zero.
    evidence.recordCounts("entry-1", 2, counts(3, 3));
    LONGS_EQUAL(13, evidence.total().target.all);
    evidence.recordCounts("entry-2", 1, counts(4, 4));
    CHECK(evidence.isBad());
}

TEST(CusumDetector, DetectsAVersionThatIsBadOnOneRouteOnly)
{
    FleetEvidence evidence;
    CountsByRoute counts;
    for (std::uint64_t round = 1; round <= 20; ++round) {
        counts["busy"] = { .usual = { .all = 4000 * round, .bad = 0 }, .target = { .all = 200 * round, .bad = 0 } };
        counts["quiet"] = { .usual = { .all = 40 * round, .bad = 0 }, .target = { .all = 2 * round, .bad = round } };
        evidence.recordCounts("entry-1", 1, counts);
    }
    CHECK(evidence.isBad());
}

TEST(CusumDetector, MovesOnlyWithCapacityAndCompletesOnlyWhenTheOldVersionIsIdle)
{
    RolloutState state{ .targetVersion = "v2", .order = 1 };
    RolloutProgress progress{ .duration = { 12000 }, .targetAnswers = 100, .allAnswers = 4000 };
    progress.elapsed = { 100 }; // the new version has no capacity
    CHECK_FALSE(RolloutPlan::next(state, progress).has_value());
    progress.capacity = 1;
    CHECK(RolloutPlan::next(state, progress)->share > 0);
    progress.elapsed = { 11900 };
    progress.capacity = 0;
    CHECK(RolloutPlan::next(state, progress)->phase == RolloutPhase::Trying);
    progress.capacity = 1;
    state = *RolloutPlan::next(state, progress);
    CHECK(state.phase == RolloutPhase::Moved);
    progress.elapsed = { 13500 };
    CHECK_FALSE(RolloutPlan::next(state, progress).has_value());
    progress.isOldIdle = true;
    CHECK(RolloutPlan::next(state, progress)->phase == RolloutPhase::Completed);
    progress.isBad = true;
    CHECK(RolloutPlan::next(state, progress)->phase == RolloutPhase::RolledBack);
}
