#include "Routing/TwoChoicesPolicy.h"

namespace burlreach {

BackendServerState* TwoChoicesPolicy::choose(
    std::span<BackendServerState* const> candidates, const RoutingContext&, Random& random)
{
    BackendServerState* first = candidates[random.below(candidates.size())];
    BackendServerState* second = candidates[random.below(candidates.size())];
    return second->inFlight() < first->inFlight() ? second : first;
}

}
