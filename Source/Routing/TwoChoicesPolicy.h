#pragma once

#include "Routing/RoutingPolicy.h"

namespace burlreach {

/** Baseline policy: of two random candidates, chooses the one with fewer requests in flight from this instance. */
class TwoChoicesPolicy final : public RoutingPolicy {
public:
    BackendServerState* choose(
        std::span<BackendServerState* const> candidates, const RoutingContext& context, Random& random) override;
    std::string_view name() const override { return "two-choices"; }
};

}
