#include "Routing/RoundRobinPolicy.h"

namespace burlreach {

BackendServerState* RoundRobinPolicy::choose(
    std::span<BackendServerState* const> candidates, const RoutingContext&, Random&)
{
    return candidates[this->next++ % candidates.size()];
}

}
