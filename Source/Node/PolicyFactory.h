#pragma once

#include "Routing/RoutingPolicy.h"
#include "Routing/ServicePool.h"

#include <memory>

namespace burlreach {

/** Makes the routing policy for each service. */
class PolicyFactory {
public:
    virtual ~PolicyFactory() = default;
    virtual std::unique_ptr<RoutingPolicy> create() const = 0;
    virtual ServicePool::Options poolOptions() const { return {}; }
};

}
