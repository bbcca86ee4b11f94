#pragma once

#include "Base/LocalBudgetShare.h"
#include "Base/Random.h"
#include "Routing/BackendServerState.h"

#include <cstddef>
#include <optional>

namespace burlreach {

/**
 * This instance's share of the request rate that a cold backend server can take from all instances together. A server
 * that gets many more requests while it is cold fails.
 *
 * All instances have the same share, whatever their data centre, so that no part of the rate is reserved for callers
 * of a data centre that do not use it. While the size of the fleet is not known, such as right after a restart of all
 * instances, the share is zero.
 */
class ColdStartShare {
public:
    struct Options {
        double perSecond = 0; // requests that a cold server of the service can take; 0: no limit
        std::optional<std::size_t> instances; // lower bound of the fleet size; nullopt while it is not known
    };

    void configure(const Options& next) { this->options = next; }
    /** True for warm servers, and for cold ones while this instance's share is not used up. */
    bool allows(const BackendServerState& server, Random& random, Milliseconds now);
    /** Counts a request that is sent to the server. */
    void sent(const BackendServerState& server, Random& random, Milliseconds now);
    void forget(const std::string& backendServer) { this->budget.forget(backendServer); }

private:
    LocalBudgetShare::Rate budgetPart() const;
    bool hasRateLimit(const BackendServerState& server, Milliseconds now) const;

    Options options;
    LocalBudgetShare budget;
};

}
