#pragma once

#include "Base/Milliseconds.h"

#include <cstdint>
#include <string>

namespace burlreach {

/** An operator's order to move a service's requests to the backend servers of another version. */
struct RolloutOrder {
    std::string service;
    std::string targetVersion;
    Milliseconds duration; // in which the roll-out should complete
    std::uint64_t number = 0; // a later order for the same service has a higher number
    bool isWithdrawn = false;

    bool operator==(const RolloutOrder&) const = default;
};

}
