#include "Measurement/ProbeBudget.h"

#include <algorithm>

namespace burlreach {

namespace {

/** A probe is cancelled when it takes this many times the usual cost. */
constexpr double LongestFactor = 2;
/** However fast probes are, a little delay on the way must not fail them. */
constexpr Milliseconds ShortestTimeout{ 6 };
constexpr double NewShare = 0.2;
/** Clocks and the way to the backend server blur the window. */
constexpr Milliseconds WindowMargin{ 50 };

}

ProbeBudget::ProbeBudget(Milliseconds givenPerSecond)
    : perSecond(givenPerSecond)
{
}

Milliseconds ProbeBudget::longestProbe() const
{
    return std::min(this->perSecond, std::max(this->usualCost * LongestFactor, ShortestTimeout));
}

Milliseconds ProbeBudget::spent(Milliseconds now)
{
    std::erase_if(this->entries, [now](const Entry& entry) { return entry.leavesWindow <= now; });
    Milliseconds sum;
    for (const Entry& entry : this->entries)
        sum = sum + entry.cost;
    return sum;
}

bool ProbeBudget::hasRoom(Milliseconds now)
{
    const Milliseconds longest = this->longestProbe();
    return longest.count > 0 && this->spent(now) + longest <= this->perSecond;
}

void ProbeBudget::started(std::uint64_t probe, Milliseconds)
{
    this->entries.push_back({ .probe = probe, .underWay = true, .cost = this->longestProbe(), .leavesWindow = Never });
}

void ProbeBudget::ended(std::uint64_t probe, Milliseconds took, Milliseconds now)
{
    for (Entry& entry : this->entries) {
        if (entry.probe != probe || !entry.underWay)
            continue;
        entry.underWay = false;
        entry.cost = std::min(took, entry.cost);
        entry.leavesWindow = now + Second + WindowMargin;
        this->usualCost = this->usualCost + (took - this->usualCost) * NewShare;
    }
}

}
