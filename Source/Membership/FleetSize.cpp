#include "Membership/FleetSize.h"

#include <algorithm>
#include <utility>

namespace burlreach {

namespace {

/**
 * All instances send a hello every 1.2 s to those that watch the store, whose gossip updates contain the number of
 * instances. After two rounds and the way back, that number includes all of them.
 */
constexpr Milliseconds SettlingTime{ 3000 };
/** Longer than any network partition during which instances must not increase their share of fleet-wide limits. */
constexpr Milliseconds Period{ 120000 };

}

void FleetSize::counted(std::size_t instances, Milliseconds now)
{
    if (this->firstCountAt == Never)
        this->firstCountAt = now;
    if (now - this->periodStart > Period) {
        this->largestInPreviousPeriod = std::exchange(this->largest, 0);
        this->periodStart = now;
    }
    this->largest = std::max(this->largest, instances);
}

std::optional<std::size_t> FleetSize::atLeast(Milliseconds now) const
{
    if (this->firstCountAt == Never || now - this->firstCountAt < SettlingTime)
        return std::nullopt;
    return std::max(this->largest, this->largestInPreviousPeriod);
}

}
