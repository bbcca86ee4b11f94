#include "Membership/FleetSize.h"

#include <algorithm>
#include <utility>

namespace burlreach {

namespace {

/**
 * All instances say hello every 1.2 s to those that watch the store, whose news
 * hold the count: after two rounds and the way back all have been counted.
 */
constexpr Milliseconds Settled{ 3000 };
/** Longer than any cut between instances that the fleet should bear without sending more. */
constexpr Milliseconds Span{ 120000 };

}

void FleetSize::counted(std::size_t instances, Milliseconds now)
{
    if (this->began == Never)
        this->began = now;
    if (now - this->spanBegan > Span) {
        this->largestBefore = std::exchange(this->largest, 0);
        this->spanBegan = now;
    }
    this->largest = std::max(this->largest, instances);
}

std::optional<std::size_t> FleetSize::atLeast(Milliseconds now) const
{
    if (this->began == Never || now - this->began < Settled)
        return std::nullopt;
    return std::max(this->largest, this->largestBefore);
}

}
