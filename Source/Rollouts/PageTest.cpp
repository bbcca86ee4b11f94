#include "Rollouts/PageTest.h"

#include <algorithm>
#include <cmath>

namespace burlreach {

namespace {

/** A version is taken to be as good as the one before up to this share of bad answers, or this many times its share. */
constexpr double LeastGoodShare = 0.02;
constexpr double GoodFactor = 1.5;
/** The smallest difference that is looked for. */
constexpr double Difference = 0.12;
constexpr double HighestShare = 0.9;
/**
 * The logarithm of how unlikely bad answers must be of a good version: one in
 * some three thousand beginnings of the sum. Four bad answers in a row are enough
 * where the version before has none.
 */
constexpr double Threshold = 8;

}

void PageTest::add(const AnswerCounts& answers, double usualShare)
{
    if (!answers.all)
        return;
    const double good = std::clamp(usualShare * GoodFactor, LeastGoodShare, HighestShare - Difference);
    const double bad = std::max(good + Difference, std::min(HighestShare, usualShare * GoodFactor * 2));
    const double ofBad = std::log(bad / good);
    const double ofGood = std::log((1 - bad) / (1 - good));
    const auto badAnswers = static_cast<double>(answers.bad);
    const double goodAnswers = static_cast<double>(answers.all) - badAnswers;
    this->sum = std::max(0.0, this->sum + badAnswers * ofBad + goodAnswers * ofGood);
    this->found = this->found || this->sum > Threshold;
}

}
