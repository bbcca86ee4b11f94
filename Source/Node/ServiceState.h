#pragma once

#include "Admission/WaitEstimate.h"
#include "Admission/WaitingQueue.h"
#include "Attempts/QuantileEstimate.h"
#include "Attempts/RetryBudget.h"
#include "Configuration/EffectiveLimits.h"
#include "Routing/ServicePool.h"
#include "configuration.pb.h"

#include <memory>

namespace burlreach {

/** All that this instance knows and holds for one service. */
struct ServiceState {
    ServiceState(std::unique_ptr<RoutingPolicy> policy, ServicePool::Options poolOptions);

    void configure(const v1::Service& description, std::size_t instances);

    v1::Service service;
    EffectiveLimits limits;
    ServicePool pool;
    WaitingQueue queue;
    WaitEstimate waitEstimate;
    RetryBudget retryBudget;
    QuantileEstimate usualResponse;
};

}
