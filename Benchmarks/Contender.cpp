#include "Benchmarks/Contender.h"

#include "Routing/LeastInFlightPolicy.h"
#include "Routing/LoadAwarePolicy.h"
#include "Routing/RandomPolicy.h"
#include "Routing/RoundRobinPolicy.h"
#include "Routing/TwoChoicesPolicy.h"

namespace burlreach {

namespace {

template <typename Policy>
class Factory final : public PolicyFactory {
public:
    explicit Factory(bool givenAdaptive)
        : adaptive(givenAdaptive)
    {
    }

    std::unique_ptr<RoutingPolicy> create() const override { return std::make_unique<Policy>(); }
    ServicePool::Options poolOptions() const override { return { .adaptive = this->adaptive }; }

private:
    bool adaptive;
};

template <typename Policy>
Contender baseline(const std::string& name)
{
    RequestFlow::Options requests;
    requests.probes = false;
    requests.hedging.isEnabled = false;
    return { .name = name, .policies = std::make_shared<Factory<Policy>>(false), .requests = requests };
}

Contender own(const std::string& name, bool probes, bool hedges)
{
    RequestFlow::Options requests;
    requests.probes = probes;
    requests.hedging.isEnabled = hedges;
    return { .name = name, .policies = std::make_shared<Factory<LoadAwarePolicy>>(true), .requests = requests };
}

/** Probes three servers once and sends to the best of them immediately, even if it is slow. */
Contender sendingAtOnce()
{
    Contender contender = own("burlreach-without-holding-back", true, true);
    contender.requests.search.serversPerRound = 3;
    contender.requests.search.mostRounds = 1;
    contender.requests.search.holdShare = 0;
    return contender;
}

}

std::vector<Contender> contenders()
{
    return {
        baseline<RandomPolicy>("random"),
        baseline<RoundRobinPolicy>("round-robin"),
        baseline<LeastInFlightPolicy>("least-in-flight"),
        baseline<TwoChoicesPolicy>("two-choices"),
        own("burlreach-without-probes", false, true),
        own("burlreach-without-hedges", true, false),
        sendingAtOnce(),
        own("burlreach", true, true),
    };
}

}
