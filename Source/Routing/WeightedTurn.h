#pragma once

#include "Configuration/RoutingConfiguration.h"

#include <span>
#include <string>
#include <vector>

namespace burlreach {

/**
 * Divides a route's requests among its services in proportion to the weights,
 * evenly in time: each service's count never strays from its share by more
 * than one. Instances begin at different points, so that they do not all send
 * the same part first.
 */
class WeightedTurn {
public:
    /** The start is from 0 up to 1. */
    WeightedTurn(std::span<const WeightedService> services, double start);

    /** The service that the next request goes to. */
    const std::string& next();
    bool isFor(std::span<const WeightedService> services) const;

private:
    struct Part {
        WeightedService service;
        double credit = 0; // requests that it is owed
    };

    std::vector<Part> parts;
    double totalWeight = 0;
};

}
