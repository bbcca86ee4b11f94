#pragma once

#include "Base/Milliseconds.h"

#include <cstdint>
#include <string>

namespace burlreach {

/** An operator wants a service's requests to move to the backend servers of another version. */
struct RolloutOrder {
    std::string service;
    std::string targetVersion;
    Milliseconds duration; // by then it should be done
    std::uint64_t number = 0; // another order for the same service has a higher one
    bool isWithdrawn = false;

    bool operator==(const RolloutOrder&) const = default;
};

}
