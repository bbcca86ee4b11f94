#pragma once

#include "Routing/RoutingPolicy.h"

namespace burlreach {

/** Baseline policy: chooses the candidate with the fewest requests in flight from this instance. */
class LeastInFlightPolicy final : public RoutingPolicy {
public:
    BackendServerState* choose(
        std::span<BackendServerState* const> candidates, const RoutingContext& context, Random& random) override;
    std::string_view name() const override { return "least-in-flight"; }
};

}
