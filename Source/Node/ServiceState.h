#pragma once

#include "Admission/WaitingQueue.h"
#include "Attempts/RetryBudget.h"
#include "Configuration/RoutingConfiguration.h"
#include "Routing/ServicePool.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace burlreach {

/** All that this instance knows and holds for one service. */
struct ServiceState {
    ServiceState(std::unique_ptr<RoutingPolicy> policy, ServicePool::Options poolOptions, const RetryLimits& limits);

    void configure(const ServiceDescription& description, std::size_t instances);
    /** The mean time to answer of a route's requests; a guess from its target while none is known. */
    Milliseconds expectedTime(const Route& route) const;
    void answered(const Route& route, Milliseconds took);

    ServiceDescription description;
    ServicePool pool;
    WaitingQueue queue;
    RetryBudget retryBudget;

private:
    std::unordered_map<std::string, Milliseconds> meanTimes; // by route
};

}
