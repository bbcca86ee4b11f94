#include "Routing/WeightedTurn.h"

#include <algorithm>

namespace burlreach {

namespace {

/** Requests that a service may be sent beyond its share. */
constexpr double MostAhead = 1;

}

WeightedTurn::WeightedTurn(std::span<const WeightedService> services, double start)
{
    for (const WeightedService& service : services)
        this->totalWeight += service.weight;
    for (const WeightedService& service : services) {
        // The part that the start falls into is owed the most.
        const double share = service.weight / std::max(this->totalWeight, 1.0);
        const bool isFirst = start >= 0 && start < share;
        this->parts.push_back({ .service = service, .credit = isFirst ? 1 - share : -share * start });
        start -= share;
    }
}

const std::string& WeightedTurn::next()
{
    for (Part& part : this->parts)
        part.credit += part.service.weight / std::max(this->totalWeight, 1.0);
    const auto owed = std::max_element(this->parts.begin(), this->parts.end(),
        [](const Part& left, const Part& right) { return left.credit < right.credit; });
    owed->credit -= 1;
    if (owed->sentCredit > -MostAhead)
        return owed->service.service;
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
