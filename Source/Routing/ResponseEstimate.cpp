#include "Routing/ResponseEstimate.h"

#include <algorithm>
#include <cmath>

namespace burlreach {

namespace {

/** Time after which an old value counts for about a third. */
constexpr Milliseconds DecayTime{ 300 };
constexpr double RiseShare = 0.5;
constexpr double FastestRiseShare = 0.01;

}

void ResponseEstimate::add(Milliseconds response, Milliseconds now)
{
    if (!this->samples++) {
        this->estimate = response;
        this->fastest = response;
        this->updated = now;
        return;
    }
    const Milliseconds age = now - this->updated;
    const double fallShare = 1 - std::exp(-std::max(age.count, 1.0) / DecayTime.count);
    const double share = response > this->estimate ? RiseShare : fallShare;
    this->estimate = this->estimate + (response - this->estimate) * share;
    this->updated = now;
    if (response < this->fastest)
        this->fastest = response;
    else
        this->fastest = this->fastest + (response - this->fastest) * FastestRiseShare;
}

void ResponseEstimate::clear()
{
    *this = {};
}

}
