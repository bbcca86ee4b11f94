#include "Benchmarks/Policies.h"

#include "Routing/LeastInFlightPolicy.h"
#include "Routing/RandomPolicy.h"
#include "Routing/RoundRobinPolicy.h"
#include "Routing/TwoChoicesPolicy.h"

namespace burlreach {

namespace {

template <typename Policy>
class Factory final : public PolicyFactory {
public:
    std::unique_ptr<RoutingPolicy> create() const override { return std::make_unique<Policy>(); }
    ServicePool::Options poolOptions() const override { return { .adaptive = false }; }
};

template <typename Policy>
Contender baseline()
{
    return { .name = std::string(Policy().name()),
        .policies = std::make_shared<Factory<Policy>>(),
        .hedges = false,
        .probes = true };
}

}

std::vector<Contender> contenders()
{
    return {
        { .name = "burlreach", .policies = nullptr, .hedges = true, .probes = true },
        { .name = "burlreach-without-probes", .policies = nullptr, .hedges = true, .probes = false },
        baseline<RandomPolicy>(),
        baseline<RoundRobinPolicy>(),
        baseline<LeastInFlightPolicy>(),
        baseline<TwoChoicesPolicy>(),
    };
}

}
