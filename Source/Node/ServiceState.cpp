#include "Node/ServiceState.h"

#include <utility>

namespace burlreach {

namespace {

/** A request that takes longer than this share of others may be hedged. */
constexpr double HedgeQuantile = 0.95;

}

ServiceState::ServiceState(std::unique_ptr<RoutingPolicy> policy, ServicePool::Options poolOptions)
    : pool(std::move(policy), poolOptions)
    , retryBudget(EffectiveLimits{}.retryShare)
    , usualResponse(HedgeQuantile)
{
}

void ServiceState::configure(const v1::Service& description, std::size_t instances)
{
    this->service = description;
    this->limits = effectiveLimits(description.limits());
    this->pool.configure(description, this->limits.connectionsPerBackendServer, instances);
    this->retryBudget.setShare(this->limits.retryShare);
}

}
