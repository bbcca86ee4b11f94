#pragma once

#include "Customers/KeyDigest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace burlreach {

/** The limit on a customer's requests to backend servers, for all instances together. */
struct CustomerLimit {
    double requestsPerSecond = 0; // 0: no limit
    double burst = 0; // requests beyond that rate that may be saved up

    bool isSet() const { return this->requestsPerSecond > 0; }
    bool operator==(const CustomerLimit&) const = default;
};

/** A customer, whose callers authenticate with its keys. */
struct Customer {
    std::string name;
    std::vector<KeyDigest> keys;
    std::optional<std::uint32_t> rank; // priority rank that replaces the route's; 0 is served first
    CustomerLimit limit;
};

}
