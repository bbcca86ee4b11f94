#pragma once

#include "Base/Milliseconds.h"
#include "Base/Random.h"
#include "Routing/BackendServerState.h"

#include <span>
#include <string_view>

namespace burlreach {

/** The circumstances of a choice. */
struct RoutingContext {
    Milliseconds now;
    std::string_view dataCentre; // of the choosing instance
    Milliseconds expected; // duration of such a request at an average server; zero: not known
    bool wantsTarget = false; // the request is meant for the target version of a rollout
};

/** Chooses one of the backend servers that may take a request. */
class RoutingPolicy {
public:
    virtual ~RoutingPolicy() = default;
    /** There is at least one candidate. */
    virtual BackendServerState* choose(
        std::span<BackendServerState* const> candidates, const RoutingContext& context, Random& random)
        = 0;
    virtual std::string_view name() const = 0;
};

}
