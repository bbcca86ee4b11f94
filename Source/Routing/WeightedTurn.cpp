#include "Routing/WeightedTurn.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace burlreach {

namespace {

/** Number of requests by which a service may exceed its share. */
constexpr double MostAhead = 1;
constexpr double LongestPeriod = 10000;

}

WeightedTurn::WeightedTurn(std::span<const WeightedService> services, double start)
{
    std::uint32_t divisor = 0;
    for (const WeightedService& service : services) {
        this->totalWeight += service.weight;
        divisor = std::gcd(divisor, service.weight);
        this->parts.push_back({ .service = service });
    }
    // The order repeats after this many requests. Starting at a random point of it makes the probability of each
    // service match its weight even for an instance that sees only one or two requests.
    const double period = std::min(LongestPeriod, this->totalWeight / std::max(divisor, 1U));
    for (double turns = std::floor(start * period); turns >= 1; turns -= 1)
        this->takeTurn();
}

WeightedTurn::Part& WeightedTurn::takeTurn()
{
    for (Part& part : this->parts)
        part.credit += part.service.weight / std::max(this->totalWeight, 1.0);
    Part& owed = *std::max_element(this->parts.begin(), this->parts.end(),
        [](const Part& left, const Part& right) { return left.credit < right.credit; });
    owed.credit -= 1;
    return owed;
}

const std::string& WeightedTurn::next()
{
    const Part& owed = this->takeTurn();
    if (owed.sentCredit > -MostAhead)
        return owed.service.service;
    const auto behind = std::max_element(this->parts.begin(), this->parts.end(),
        [](const Part& left, const Part& right) { return left.sentCredit < right.sentCredit; });
    return behind->service.service;
}

void WeightedTurn::sent(const std::string& service)
{
    for (Part& part : this->parts) {
        part.sentCredit += part.service.weight / std::max(this->totalWeight, 1.0);
        if (part.service.service == service)
            part.sentCredit -= 1;
    }
}

bool WeightedTurn::isFor(std::span<const WeightedService> services) const
{
    return std::equal(this->parts.begin(), this->parts.end(), services.begin(), services.end(),
        [](const Part& part, const WeightedService& service) {
            return part.service.service == service.service && part.service.weight == service.weight;
        });
}

}
