#include "Admission/CallerWaitEstimator.h"

#include <algorithm>

namespace burlreach {

namespace {

/** Decay of the longest time per request; half of a difference is forgotten after about 140 requests. */
constexpr double DecayShare = 0.005;
/** A caller that has spent less than this share of its target latency is not late, however slow the service is. */
constexpr double MinSpentShare = 0.5;

}

Milliseconds CallerWaitEstimator::estimateTimeSpent(Milliseconds timeLeft)
{
    const Milliseconds decayed = this->longest - (this->longest - timeLeft) * DecayShare;
    this->longest = std::max(timeLeft, decayed);
    return this->longest - timeLeft;
}

bool isLateCaller(Milliseconds spent, Milliseconds expected, Milliseconds target)
{
    return spent > std::max(target - expected, target * MinSpentShare);
}

}
