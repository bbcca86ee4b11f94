#pragma once

#include "Configuration/RoutingConfiguration.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace burlreach {

/**
 * Divides a route's requests among its services in proportion to the weights,
 * evenly in time: each service's count hardly strays from its share. Instances
 * begin at different points of the same order, so that the weights also hold
 * for a fleet whose instances see a request or two each.
 *
 * Requests that are refused before they are sent do not count for a service.
 * While one service refuses more than others, the others get no more than a
 * request or two beyond their share: the weights hold for what is served.
 */
class WeightedTurn {
public:
    /** The start is from 0 up to 1. */
    WeightedTurn(std::span<const WeightedService> services, double start);

    /** The service that the next request goes to. */
    const std::string& next();
    /** A request that next() gave to this service was sent to it. */
    void sent(const std::string& service);
    bool isFor(std::span<const WeightedService> services) const;

private:
    struct Part {
        WeightedService service;
        double credit = 0; // requests that it is owed
        double sentCredit = 0; // of those that were sent
    };

    /** The part that the next request is owed to. */
    Part& takeTurn();

    std::vector<Part> parts;
    double totalWeight = 0;
};

}
