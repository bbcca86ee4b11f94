#include "Routing/OutlierDetector.h"

#include <algorithm>
#include <cmath>

namespace burlreach {

namespace {

constexpr unsigned MostDoublings = 10;

}

OutlierDetector::OutlierDetector(Options givenOptions)
    : options(givenOptions)
{
}

bool OutlierDetector::check(
    BackendServerState& server, std::span<const std::shared_ptr<BackendServerState>> pool, Milliseconds now) const
{
    // For a server on trial one failure is enough.
    const unsigned allowed = server.isOnTrial() ? 1 : this->options.failuresInARow;
    const bool failsOften = server.failureShare(now) >= this->options.failureShare;
    if ((server.failuresInARow() < allowed && !failsOften) || server.isEjected(now))
        return false;
    const auto out = static_cast<double>(
        std::count_if(pool.begin(), pool.end(), [now](const auto& item) { return item->isEjected(now); }));
    if (out + 1 > this->options.largestShare * static_cast<double>(pool.size()))
        return false;
    const double doubling = std::exp2(static_cast<double>(std::min(server.ejections(), MostDoublings)));
    server.eject(now + std::min(this->options.firstEjection * doubling, this->options.longestEjection));
    return true;
}

}
