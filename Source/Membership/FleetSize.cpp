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
        this->largestInPreviousPeriod = std::exchange(this->largestInPeriod, 0);
        this->periodStart = now;
    }
    this->largestInPeriod = std::max(this->largestInPeriod, instances);
}

void FleetSize::setRecorded(std::size_t instances, Milliseconds now)
{
    if (instances == this->recordedSize)
        return;
    this->recordedSize = instances;
    this->recordedAt = now;
}

std::size_t FleetSize::largestCount() const
{
    return std::max(this->largestInPeriod, this->largestInPreviousPeriod);
}

std::size_t FleetSize::largest() const
{
    return std::max<std::size_t>({ this->largestCount(), this->recordedSize, 1 });
}

std::optional<std::size_t> FleetSize::atLeast(Milliseconds now) const
{
    if (this->firstCountAt == Never || now - this->firstCountAt < SettlingTime)
        return std::nullopt;
    return this->largest();
}

std::optional<std::size_t> FleetSize::toRecord(Milliseconds now) const
{
    const auto estimate = this->atLeast(now);
    // The record is lowered only by an instance that has itself counted fewer for the whole time, and not often: two
    // parts of a fleet that stays cut would otherwise write against each other.
    const bool mayLower = estimate && now - this->firstCountAt > Period * 2 && now - this->recordedAt > Period;
    return mayLower ? this->largestCount() : estimate;
}

}
