#pragma once

#include "Base/Milliseconds.h"
#include "Base/Random.h"
#include "Routing/BackendServerState.h"

#include <span>
#include <string_view>

namespace burlreach {

/** Where, when and for what a choice is made. */
struct RoutingContext {
    Milliseconds now;
    std::string_view dataCentre; // of the choosing instance
    Milliseconds expected; // time of such a request at a usual server; zero: not known
    bool wantsTarget = false; // of a version that is tried
};

/** Chooses the backend server for a request among those that may take it. */
class RoutingPolicy {
public:
    virtual ~RoutingPolicy() = default;
    /** The candidates are never empty. */
    virtual BackendServerState* choose(
        std::span<BackendServerState* const> candidates, const RoutingContext& context, Random& random)
        = 0;
    virtual std::string_view name() const = 0;
};

}
