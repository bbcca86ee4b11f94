#pragma once

#include "Rollouts/AnswerCounts.h"

namespace burlreach {

/**
 * Page's cumulative sum test (CUSUM): detects that a version's share of bad answers has become higher than that of the
 * usual version. It sums the log likelihood ratio of "bad" against "good" over all answers and restarts at zero
 * whenever the sum becomes negative, so a long series of good answers does not hide a later change.
 */
class CusumDetector {
public:
    /** Adds answers of the target version; usualShare is the usual version's share of bad answers so far. */
    void add(const AnswerCounts& answers, double usualShare);
    bool isBad() const { return this->hasDetected; }

private:
    double logLikelihoodRatio = 0;
    bool hasDetected = false;
};

}
