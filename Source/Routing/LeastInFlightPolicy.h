#pragma once

#include "Routing/RoutingPolicy.h"

namespace burlreach {

/** Baseline: the candidate with the fewest own requests in flight. */
class LeastInFlightPolicy final : public RoutingPolicy {
public:
    BackendServerState* choose(
        std::span<BackendServerState* const> candidates, const RoutingContext& context, Random& random) override;
    std::string_view name() const override { return "least-in-flight"; }
};

}
