#include "Routing/WeightedRoundRobin.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace burlreach {

namespace {

/** Number of requests by which a service may exceed its share. */
constexpr double MaxOverage = 1;
constexpr double LongestPeriod = 10000;

}

WeightedRoundRobin::WeightedRoundRobin(std::span<const WeightedService> services, double start)
{
    std::uint32_t divisor = 0;
    for (const WeightedService& service : services) {
        this->totalWeight += service.weight;
        divisor = std::gcd(divisor, service.weight);
        this->targets.push_back({ .service = service });
    }
    // The order repeats after this many requests. Starting at a random point of it makes the probability of each
    // service match its weight even for an instance that sees only one or two requests.
    const double period = std::min(LongestPeriod, this->totalWeight / std::max(divisor, 1U));
    for (double turns = std::floor(start * period); turns >= 1; turns -= 1)
        this->assignNext();
}

WeightedRoundRobin::Target& WeightedRoundRobin::assignNext()
{
    for (Target& target : this->targets)
        target.credit += target.service.weight / std::max(this->totalWeight, 1.0);
    Target& owed = *std::max_element(this->targets.begin(), this->targets.end(),
        [](const Target& left, const Target& right) { return left.credit < right.credit; });
    owed.credit -= 1;
    return owed;
}

const std::string& WeightedRoundRobin::next()
{
    const Target& owed = this->assignNext();
    if (owed.sentCredit > -MaxOverage)
        return owed.service.service;
    const auto mostBehind = std::max_element(this->targets.begin(), this->targets.end(),
        [](const Target& left, const Target& right) { return left.sentCredit < right.sentCredit; });
    return mostBehind->service.service;
}

void WeightedRoundRobin::sent(const std::string& service)
{
    for (Target& target : this->targets) {
        target.sentCredit += target.service.weight / std::max(this->totalWeight, 1.0);
        if (target.service.service == service)
            target.sentCredit -= 1;
    }
}

bool WeightedRoundRobin::isFor(std::span<const WeightedService> services) const
{
    return std::equal(this->targets.begin(), this->targets.end(), services.begin(), services.end(),
        [](const Target& target, const WeightedService& service) {
            return target.service.service == service.service && target.service.weight == service.weight;
        });
}

}
