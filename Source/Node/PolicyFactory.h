#pragma once

#include "Routing/RoutingPolicy.h"
#include "Routing/ServicePool.h"

#include <memory>

namespace burlreach {

/** Gives each service its routing policy; benchmarks put baselines here. */
class PolicyFactory {
public:
    virtual ~PolicyFactory() = default;
    virtual std::unique_ptr<RoutingPolicy> create() const = 0;
    virtual ServicePool::Options poolOptions() const { return {}; }
};

}
