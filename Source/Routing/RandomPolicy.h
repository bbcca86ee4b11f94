#pragma once

#include "Routing/RoutingPolicy.h"

namespace burlreach {

/** Baseline policy: chooses each candidate with the same probability. */
class RandomPolicy final : public RoutingPolicy {
public:
    BackendServerState* choose(
        std::span<BackendServerState* const> candidates, const RoutingContext& context, Random& random) override;
    std::string_view name() const override { return "random"; }
};

}
