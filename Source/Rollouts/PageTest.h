#pragma once

#include "Rollouts/AnswerCounts.h"

namespace burlreach {

/**
 * Page's cumulative sum test: whether a version's share of bad answers has
 * become higher than that of the version before. It sums the logarithm of the
 * likelihood ratio of the two and begins anew whenever the sum falls below
 * zero, so good answers of a long time do not hide a change that comes late.
 */
class PageTest {
public:
    /** More answers of the target version; the usual version's share of bad ones is what was seen of it so far. */
    void add(const AnswerCounts& answers, double usualShare);
    bool isBad() const { return this->found; }

private:
    double sum = 0;
    bool found = false;
};

}
