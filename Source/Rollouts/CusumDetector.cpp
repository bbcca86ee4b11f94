#include "Rollouts/CusumDetector.h"

#include <algorithm>
#include <cmath>

namespace burlreach {

namespace {

/** A version is good up to this share of bad answers, or up to GoodFactor times the usual share if that is more. */
constexpr double MinimumGoodShare = 0.02;
constexpr double GoodFactor = 1.5;
/** The smallest increase in the share of bad answers that the test is designed to detect. */
constexpr double DetectedIncrease = 0.12;
constexpr double HighestShare = 0.9;
/**
 * The log likelihood ratio at which a version counts as bad. A good version reaches it in about one of three thousand
 * starts of the sum. If the usual version has no bad answers, five bad answers in a row reach it.
 */
constexpr double Threshold = 8;

}

void CusumDetector::add(const AnswerCounts& answers, double usualShare)
{
    if (!answers.all)
        return;
    const double good = std::clamp(usualShare * GoodFactor, MinimumGoodShare, HighestShare - DetectedIncrease);
    const double bad = std::max(good + DetectedIncrease, std::min(HighestShare, usualShare * GoodFactor * 2));
    const double logRatioOfBad = std::log(bad / good);
    const double logRatioOfGood = std::log((1 - bad) / (1 - good));
    const auto badAnswers = static_cast<double>(answers.bad);
    const double goodAnswers = static_cast<double>(answers.all) - badAnswers;
    this->logLikelihoodRatio
        = std::max(0.0, this->logLikelihoodRatio + badAnswers * logRatioOfBad + goodAnswers * logRatioOfGood);
    this->hasDetected = this->hasDetected || this->logLikelihoodRatio > Threshold;
}

}
