#include "Routing/SaturationEstimate.h"

#include <algorithm>
#include <cmath>

namespace burlreach {

namespace {

/** Up to this share of slots in use, a sample counts as that of a server with free slots. */
constexpr double FreeUse = 0.7;
/** From this share of slots in use, a sample counts as that of a full server. */
constexpr double FullUse = 0.85;
/** Above this the request had to wait for a slot, so its time is not that of a full server. */
constexpr double MostUse = 1.01;
constexpr std::size_t EnoughSamples = 8;
constexpr double SampleShare = 0.06;
/** Samples are capped at this value, so that single slow requests do not dominate the mean. */
constexpr double LongestTime = 6;
/**
 * The last slots are used when they raise the throughput of a server by at least this share, times the share of the
 * slots that are in use without them. The fewer slots a server has, the larger the part that would stay free, and the
 * smaller the gain that is required: 0.15 with two slots, 0.2 with three or six, 0.23 with 32. With two slots, where
 * work at a full server takes 1.7 times as long, leaving one free costs more than it saves: on a day with load peaks
 * and lost servers, 0.72 of the total value of the requests was earned with one slot left free and 0.75 without (95
 * instances, 257 servers).
 */
constexpr double WorthTheDelay = 0.3;
/** Above this share of slots in use, servers may be slower. */
constexpr double NearlyFull = 0.8;

}

void SaturationEstimate::Mean::add(double sample)
{
    ++this->samples;
    const double share = std::max(SampleShare, 1.0 / static_cast<double>(this->samples));
    this->value += (sample - this->value) * share;
}

void SaturationEstimate::add(double time, double use)
{
    const double bounded = std::min(time, LongestTime);
    if (use <= FreeUse)
        this->free.add(bounded);
    else if (use >= FullUse && use <= MostUse)
        this->full.add(bounded);
}

double SaturationEstimate::slowdown() const
{
    const bool isKnown = this->free.samples >= EnoughSamples && this->full.samples >= EnoughSamples;
    return isKnown && this->free.value > 0 ? std::max(1.0, this->full.value / this->free.value) : 1;
}

double SaturationEstimate::slotsToUse(double slots) const
{
    const double fewer = std::max(1.0, std::floor(slots * NearlyFull));
    // A full server answers slots / slowdown requests in the time of one request, and each of them takes longer.
    const double leastGain = 1 + WorthTheDelay * fewer / slots;
    return slots / this->slowdown() < fewer * leastGain ? fewer : slots;
}

}
