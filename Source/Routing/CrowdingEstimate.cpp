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
/**
 * How much more a full server must answer, as a share of what it answers with
 * its last slots free, were these next to nothing. The fewer slots it has, the
 * more of them would stay free and the less must the last one bring: 0.15 with
 * two slots, 0.2 with three or six, 0.23 with 32. With two slots, where crowded
 * work takes 1.7 times as long, leaving one free costs more than it saves: of
 * what callers bring on a day with rushes and lost servers 0.72 was earned with
 * one slot left free and 0.75 without (95 instances, 257 servers).
 */
constexpr double WorthTheDelay = 0.3;
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
    const double leastGain = 1 + WorthTheDelay * fewer / slots;
    return slots / this->slowdown() < fewer * leastGain ? fewer : slots;
}

}
