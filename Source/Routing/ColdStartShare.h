#pragma once

#include "Base/DealtBudget.h"
#include "Base/Random.h"
#include "Routing/BackendServerState.h"

#include <cstddef>
#include <optional>

namespace burlreach {

/**
 * This instance's part of the requests that a cold backend server bears from
 * all instances together. A server that is given many more falls over.
 *
 * All instances have the same part, whether near or far, so what callers in one
 * data centre do not use is not lost to those in another. While the size of the
 * fleet is not known, as right after a restart of all, the part is nothing.
 */
class ColdStartShare {
public:
    struct Options {
        double perSecond = 0; // that a cold server of the service bears; 0: no bound
        std::optional<std::size_t> instances; // of the fleet, at least; nothing while it is not known
    };

    void configure(const Options& next) { this->options = next; }
    /** True for warm servers, and for cold ones while this instance's part is not used up. */
    bool allows(const BackendServerState& server, Random& random, Milliseconds now);
    /** A request is sent there. */
    void sent(const BackendServerState& server, Random& random, Milliseconds now);
    void forget(const std::string& backendServer) { this->budget.forget(backendServer); }

private:
    DealtBudget::Part part() const;
    bool isBound(const BackendServerState& server, Milliseconds now) const;

    Options options;
    DealtBudget budget;
};

}
