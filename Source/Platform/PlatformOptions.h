#pragma once

#include "Base/NetworkAddress.h"

#include <string>

namespace burlreach {

/** Where the platform's service is and what of it is ours. */
struct PlatformOptions {
    NetworkAddress address;
    std::string keyPrefix;
    std::string serviceName;
};

}
