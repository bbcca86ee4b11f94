#pragma once

#include "Base/NetworkAddress.h"

#include <cstdint>
#include <string>
#include <vector>

namespace burlreach {

/** An instance as the platform lists it. */
struct ListedInstance {
    std::string name;
    std::string dataCentre;
    NetworkAddress address; // for peers
    bool leaving = false;
};

/** The platform's list, which lags. A higher index is newer. */
struct InstanceList {
    std::uint64_t index = 0;
    std::vector<ListedInstance> instances;
};

}
