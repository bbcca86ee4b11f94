#include "Membership/Overlay.h"

#include "Base/Hash.h"

#include <algorithm>
#include <cmath>

namespace burlreach {

namespace {

/** Neighbours that each member sends to, in fleets large enough. */
constexpr std::size_t MostTargets = 5;
constexpr std::uint64_t RingSeed = 1;
constexpr std::uint64_t CoordinatorSeed = 2;

std::uint64_t rank(const peers::Member& member, std::uint64_t seed)
{
    return hashOf(member.incarnation().name(), seed);
}

void sortByRank(std::vector<peers::Member>& members, std::uint64_t seed)
{
    std::sort(members.begin(), members.end(),
        [seed](const peers::Member& left, const peers::Member& right) { return rank(left, seed) < rank(right, seed); });
}

}

Overlay::Overlay(const peers::Ownership& ownership)
    : ring(ownership.members().begin(), ownership.members().end())
    , byRank(this->ring)
{
    sortByRank(this->ring, RingSeed);
    sortByRank(this->byRank, CoordinatorSeed);
}

std::size_t Overlay::positionOf(std::uint64_t incarnation) const
{
    const auto found = std::find_if(this->ring.begin(), this->ring.end(),
        [incarnation](const peers::Member& member) { return member.incarnation().number() == incarnation; });
    return static_cast<std::size_t>(found - this->ring.begin());
}

bool Overlay::contains(std::uint64_t incarnation) const
{
    return this->positionOf(incarnation) < this->ring.size();
}

std::vector<std::size_t> Overlay::distances() const
{
    const auto size = static_cast<double>(this->ring.size());
    const double root = std::ceil(std::pow(size, 1.0 / MostTargets));
    const auto base = std::max<std::size_t>(2, static_cast<std::size_t>(root));
    std::vector<std::size_t> found;
    for (std::size_t distance = 1; distance < this->ring.size() && found.size() < MostTargets; distance *= base)
        found.push_back(distance);
    return found;
}

std::vector<peers::Member> Overlay::targets(std::uint64_t self) const
{
    const std::size_t position = this->positionOf(self);
    std::vector<peers::Member> found;
    if (position == this->ring.size())
        return found;
    for (const std::size_t distance : this->distances())
        found.push_back(this->ring[(position + distance) % this->ring.size()]);
    return found;
}

std::vector<peers::Member> Overlay::sources(std::uint64_t self) const
{
    const std::size_t position = this->positionOf(self);
    std::vector<peers::Member> found;
    if (position == this->ring.size())
        return found;
    for (const std::size_t distance : this->distances())
        found.push_back(this->ring[(position + this->ring.size() - distance) % this->ring.size()]);
    return found;
}

}
