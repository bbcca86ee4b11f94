#pragma once

#include <cstddef>

namespace burlreach {

/** What a calm fleet of some size costs, per instance and second. */
struct FleetCost {
    std::size_t instances = 0;
    std::size_t servers = 0;
    double messages = 0; // sent to other instances
    double bytes = 0; // of those, without framing
    double mostMessages = 0; // of the instance that sends the most
    double storeCalls = 0; // of all instances together, a second
    double spreadMilliseconds = 0; // until a change is in force on the last instance
};

FleetCost measureFleet(std::size_t instances, std::size_t servers);

}
