#pragma once

#include "Base/Milliseconds.h"
#include "configuration.pb.h"

#include <cstddef>

namespace burlreach {

/** The limits of a service with its defaults filled in. */
struct EffectiveLimits {
    std::size_t connectionsPerBackendServer = 200;
    Milliseconds deadline{ 10000 };
    std::size_t queueLength = 200;
    double retryShare = 0.1;
    Milliseconds probeBudgetPerSecond{ 30 };
    std::size_t maximumBodyBytes = 1048576;
};

EffectiveLimits effectiveLimits(const v1::Limits& limits);

}
