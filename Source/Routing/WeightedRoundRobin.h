#pragma once

#include "Configuration/RoutingConfiguration.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace burlreach {

/**
 * Smooth weighted round robin: splits the requests of a route among its services in proportion to their weights, and
 * evenly over time, so that the count of each service always stays close to its share. Instances start at different
 * points of the same order, so that the weights also hold for a fleet whose instances see only a request or two each.
 *
 * Requests that are refused before they are sent do not count for a service. While one service refuses more requests
 * than others, the others get at most a request or two beyond their share, so that the weights hold for the requests
 * that are served.
 */
class WeightedRoundRobin {
public:
    /** `start` is the point of the order to start at, from 0 to below 1. */
    WeightedRoundRobin(std::span<const WeightedService> services, double start);

    /** The service that the next request goes to. */
    const std::string& next();
    /** Counts a request that next() assigned to this service and that was sent to it. */
    void sent(const std::string& service);
    /** True when this object was made for the same services and weights. */
    bool isFor(std::span<const WeightedService> services) const;

private:
    struct Target {
        WeightedService service;
        double credit = 0; // requests that the service is owed, counting all that next() assigned
        double sentCredit = 0; // the same, counting only requests that were sent
    };

    /** The target that the next request is owed to. */
    Target& assignNext();

    std::vector<Target> targets;
    double totalWeight = 0;
};

}
