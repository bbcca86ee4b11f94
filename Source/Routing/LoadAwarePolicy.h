#pragma once

#include "Routing/RoutingPolicy.h"

namespace burlreach {

/** What a server's load is expected to be at the moment, from its last report and its age. */
struct ExpectedLoad {
    double requests = 0; // there now, those of this instance included
    double workFactor = 1; // how many times longer than usual work takes
};

/** The mean of what a pool's last reports say: what a server without a fresh report is taken for. */
struct PoolLoad {
    double others = 0;
    double workFactor = 1;
};

PoolLoad poolLoadOf(std::span<BackendServerState* const> servers);
ExpectedLoad expectedLoadOf(const BackendServerState& server, const PoolLoad& pool, Milliseconds now);

/**
 * The candidate with the lowest expected time to answer: its reports discounted
 * by their age, own requests in flight, its speed so far, its failures, and the
 * distance to its data centre.
 */
class LoadAwarePolicy final : public RoutingPolicy {
public:
    BackendServerState* choose(
        std::span<BackendServerState* const> candidates, const RoutingContext& context, Random& random) override;
    std::string_view name() const override { return "load-aware"; }

    /** The expected time to answer, in times of a usual request at an idle server. */
    static double score(const BackendServerState& server, const PoolLoad& pool, const RoutingContext& context);
};

}
