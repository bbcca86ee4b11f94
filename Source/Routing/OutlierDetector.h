#pragma once

#include "Base/Milliseconds.h"
#include "Routing/BackendServerState.h"

#include <cstddef>
#include <memory>
#include <span>

namespace burlreach {

/**
 * Takes backend servers that fail again and again out of the choice for a
 * while. At most half of the pool is out at a time.
 */
class OutlierDetector {
public:
    struct Options {
        unsigned failuresInARow = 3;
        double failureShare = 0.45;
        Milliseconds firstEjection{ 500 };
        Milliseconds longestEjection{ 10000 };
        double largestShare = 0.5;
    };

    explicit OutlierDetector(Options options);

    /** True when the backend server, which just failed, was ejected. */
    bool check(
        BackendServerState& server, std::span<const std::shared_ptr<BackendServerState>> pool, Milliseconds now) const;

private:
    Options options;
};

}
