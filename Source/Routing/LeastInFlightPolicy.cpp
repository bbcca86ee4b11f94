#include "Routing/LeastInFlightPolicy.h"

namespace burlreach {

BackendServerState* LeastInFlightPolicy::choose(
    std::span<BackendServerState* const> candidates, const RoutingContext&, Random& random)
{
    BackendServerState* best = nullptr;
    std::size_t ties = 0;
    for (BackendServerState* candidate : candidates) {
        if (!best || candidate->inFlight() < best->inFlight()) {
            best = candidate;
            ties = 1;
        } else if (candidate->inFlight() == best->inFlight() && !random.below(++ties))
            best = candidate;
    }
    return best;
}

}
