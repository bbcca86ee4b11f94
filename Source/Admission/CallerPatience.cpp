#include "Admission/CallerPatience.h"

#include <algorithm>

namespace burlreach {

namespace {

/** With each request; half of a difference is forgotten after about 140. */
constexpr double FadingShare = 0.005;
/** However slow the service is, a caller that has spent less than this of its target is not late. */
constexpr double LeastSpent = 0.5;

}

Milliseconds CallerPatience::spentBefore(Milliseconds timeLeft)
{
    const Milliseconds faded = this->longest - (this->longest - timeLeft) * FadingShare;
    this->longest = std::max(timeLeft, faded);
    return this->longest - timeLeft;
}

bool isLateCaller(Milliseconds spent, Milliseconds expected, Milliseconds target)
{
    return spent > std::max(target - expected, target * LeastSpent);
}

}
