#pragma once

#include "Base/Milliseconds.h"
#include "Routing/BackendServerState.h"

#include <cstddef>
#include <memory>
#include <span>

namespace burlreach {

/** Ejects, for some time, backend servers that fail repeatedly; at most half of a pool is ejected at once. */
class OutlierDetector {
public:
    struct Options {
        unsigned failuresInARow = 3;
        double failureShare = 0.45; // of the recent requests
        Milliseconds firstEjection{ 500 };
        Milliseconds longestEjection{ 10000 };
        double largestShare = 0.5; // of the pool that may be ejected
    };

    explicit OutlierDetector(Options options);

    /** Ejects the backend server, which has just failed, if it failed too often; true when it was ejected. */
    bool check(
        BackendServerState& server, std::span<const std::shared_ptr<BackendServerState>> pool, Milliseconds now) const;

private:
    Options options;
};

}
