#pragma once

#include "Routing/RoutingPolicy.h"

namespace burlreach {

/** The candidate with the lowest expected time to answer, from own requests in flight, reported load discounted by its
 * age, response times and distance. */
class LoadAwarePolicy final : public RoutingPolicy {
public:
    BackendServerState* choose(
        std::span<BackendServerState* const> candidates, const RoutingContext& context, Random& random) override;
    std::string_view name() const override { return "load-aware"; }
};

}
