#pragma once

#include "Routing/RoutingPolicy.h"
#include "Routing/ServicePool.h"

#include <memory>

namespace burlreach {

/** Creates the routing policy of each service; benchmarks supply baseline policies to compare with. */
class PolicyFactory {
public:
    virtual ~PolicyFactory() = default;
    virtual std::unique_ptr<RoutingPolicy> create() const = 0;
    virtual ServicePool::Options poolOptions() const { return {}; }
};

}
