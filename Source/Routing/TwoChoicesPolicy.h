#pragma once

#include "Routing/RoutingPolicy.h"

namespace burlreach {

/** Baseline: of two random candidates the one with fewer own requests in flight. */
class TwoChoicesPolicy final : public RoutingPolicy {
public:
    BackendServerState* choose(
        std::span<BackendServerState* const> candidates, const RoutingContext& context, Random& random) override;
    std::string_view name() const override { return "two-choices"; }
};

}
