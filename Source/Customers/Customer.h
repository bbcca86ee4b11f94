#pragma once

#include "Customers/KeyDigest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace burlreach {

/** How many requests of a customer may reach backend servers, from all instances together. */
struct CustomerLimit {
    double requestsPerSecond = 0; // 0: no limit
    double burst = 0; // requests beyond that after a pause

    bool isSet() const { return this->requestsPerSecond > 0; }
    bool operator==(const CustomerLimit&) const = default;
};

/** One whose callers send requests with keys of its own. */
struct Customer {
    std::string name;
    std::vector<KeyDigest> keys;
    std::optional<std::uint32_t> rank; // goes before the rank of the route; 0 goes first
    CustomerLimit limit;
};

}
