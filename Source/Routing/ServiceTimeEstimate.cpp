#include "Routing/ServiceTimeEstimate.h"

#include <algorithm>
#include <cmath>

namespace burlreach {

namespace {

constexpr double SampleShare = 0.1;
/** A server that nobody asks any more is forgiven in about this time. */
constexpr Milliseconds Forgiven{ 1000 };

}

void ServiceTimeEstimate::add(Milliseconds response, double crowd, Milliseconds now)
{
    const Milliseconds sample = response * (1 / std::max(crowd, 1.0));
    ++this->samples;
    const double share = std::max(SampleShare, 1.0 / this->samples);
    this->estimate = this->estimate + (sample - this->estimate) * share;
    this->updated = now;
}

void ServiceTimeEstimate::clear()
{
    *this = {};
}

Milliseconds ServiceTimeEstimate::value(Milliseconds poolMean, Milliseconds now) const
{
    if (!this->known())
        return poolMean;
    const double kept = std::exp(-std::max(0.0, (now - this->updated).count) / Forgiven.count);
    return poolMean + (this->estimate - poolMean) * kept;
}

}
