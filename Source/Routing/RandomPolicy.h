#pragma once

#include "Routing/RoutingPolicy.h"

namespace burlreach {

/** Baseline: any candidate with the same chance. */
class RandomPolicy final : public RoutingPolicy {
public:
    BackendServerState* choose(
        std::span<BackendServerState* const> candidates, const RoutingContext& context, Random& random) override;
    std::string_view name() const override { return "random"; }
};

}
