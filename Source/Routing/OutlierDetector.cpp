#include "Routing/OutlierDetector.h"

#include <algorithm>
#include <cmath>

namespace burlreach {

OutlierDetector::OutlierDetector(Options givenOptions)
    : options(givenOptions)
{
}

bool OutlierDetector::check(
    BackendServerState& server, std::span<BackendServerState* const> pool, Milliseconds now) const
{
    // A backend server that fails right after its return goes out at once.
    const unsigned needed = server.ejections() ? 1 : this->options.failuresInARow;
    if (server.failuresInARow() < needed || server.isEjected(now))
        return false;
    const auto isOut = [now](const BackendServerState* other) { return other->isEjected(now); };
    const auto out = static_cast<double>(std::count_if(pool.begin(), pool.end(), isOut));
    if (out + 1 > this->options.largestShare * static_cast<double>(pool.size()))
        return false;
    const double doubling = std::exp2(static_cast<double>(server.ejections()));
    server.eject(now + std::min(this->options.firstEjection * doubling, this->options.longestEjection));
    return true;
}

}
