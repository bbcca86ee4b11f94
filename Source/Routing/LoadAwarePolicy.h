#pragma once

#include "Routing/RoutingPolicy.h"

namespace burlreach {

/** A server's expected current load, from its last report and the age of that report. */
struct ExpectedLoad {
    double requests = 0; // at the server now, those of this instance included
    double workFactor = 1; // how many times longer than usual work takes
};

/** Mean of the last reports of a pool, which is assumed for a server without a fresh report. */
struct PoolLoad {
    double others = 0; // requests of other instances, per server
    double workFactor = 1; // how many times longer than usual work takes
};

PoolLoad poolLoadOf(std::span<BackendServerState* const> servers);
ExpectedLoad expectedLoadOf(const BackendServerState& server, const PoolLoad& pool, Milliseconds now);

/**
 * Chooses the candidate with the lowest expected time to answer. The estimate combines the server's load report,
 * weighted by its age, the requests in flight from this instance, the speed and failures observed so far, whether the
 * server is cold, and whether it is in another data centre.
 */
class LoadAwarePolicy final : public RoutingPolicy {
public:
    BackendServerState* choose(
        std::span<BackendServerState* const> candidates, const RoutingContext& context, Random& random) override;
    std::string_view name() const override { return "load-aware"; }

    /** Expected time to answer, in times of a usual request at an idle server; lower is better. */
    static double score(const BackendServerState& server, const PoolLoad& pool, const RoutingContext& context);
};

}
