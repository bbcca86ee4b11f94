#include "Routing/CrowdingEstimate.h"

#include <algorithm>
#include <cmath>

namespace burlreach {

namespace {

constexpr double FreeUse = 0.7;
constexpr double FullUse = 0.85;
/** Beyond this the request waited there first. */
constexpr double MostUse = 1.01;
constexpr std::size_t EnoughSamples = 8;
constexpr double SampleShare = 0.06;
/** Single requests differ; one that took this long says as much as a longer one. */
constexpr double LongestTime = 6;
/** How many times more a full server must answer. */
constexpr double WorthTheDelay = 1.2;
/** Beyond this use servers may be slower. */
constexpr double NearlyFull = 0.8;

}

void CrowdingEstimate::Mean::add(double sample)
{
    ++this->samples;
    const double share = std::max(SampleShare, 1.0 / static_cast<double>(this->samples));
    this->value += (sample - this->value) * share;
}

void CrowdingEstimate::add(double time, double use)
{
    const double bounded = std::min(time, LongestTime);
    if (use <= FreeUse)
        this->free.add(bounded);
    else if (use >= FullUse && use <= MostUse)
        this->full.add(bounded);
}

double CrowdingEstimate::slowdown() const
{
    const bool isKnown = this->free.samples >= EnoughSamples && this->full.samples >= EnoughSamples;
    return isKnown && this->free.value > 0 ? std::max(1.0, this->full.value / this->free.value) : 1;
}

double CrowdingEstimate::usefulSlots(double slots) const
{
    const double fewer = std::max(1.0, std::floor(slots * NearlyFull));
    // With all slots taken it answers slots / slowdown requests in the time of one,
    // and each of them later.
    return slots / this->slowdown() < fewer * WorthTheDelay ? fewer : slots;
}

}
