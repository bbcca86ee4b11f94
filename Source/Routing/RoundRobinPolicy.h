#pragma once

#include "Routing/RoutingPolicy.h"

namespace burlreach {

/** Baseline policy: chooses the candidates in turn. */
class RoundRobinPolicy final : public RoutingPolicy {
public:
    BackendServerState* choose(
        std::span<BackendServerState* const> candidates, const RoutingContext& context, Random& random) override;
    std::string_view name() const override { return "round-robin"; }

private:
    std::size_t next = 0;
};

}
