#include "Routing/RandomPolicy.h"

namespace burlreach {

BackendServerState* RandomPolicy::choose(
    std::span<BackendServerState* const> candidates, const RoutingContext&, Random& random)
{
    return candidates[random.below(candidates.size())];
}

}
