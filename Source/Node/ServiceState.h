#pragma once

#include "Admission/CallerPatience.h"
#include "Admission/TokenShare.h"
#include "Admission/WaitingQueue.h"
#include "Attempts/RetryBudget.h"
#include "Configuration/RoutingConfiguration.h"
#include "Routing/ServicePool.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace burlreach {

/** How many instances share what a fleet may do. */
struct FleetCount {
    std::size_t known = 1; // heard of lately
    std::optional<std::size_t> atLeast; // for bounds that hold from the first moment on; nothing while it is not known

    bool operator==(const FleetCount&) const = default;
};

/** All that this instance knows and holds for one service. */
struct ServiceState {
    ServiceState(std::unique_ptr<RoutingPolicy> policy, ServicePool::Options poolOptions, const RetryLimits& limits);

    void configure(const ServiceDescription& description, const FleetCount& fleet);
    /** The mean time to answer of a route's requests; a guess from its target while none is known. */
    Milliseconds expectedTime(const Route& route) const;
    void answered(const Route& route, Milliseconds took);
    /** The mean time to answer at servers that had room and were not slow; a guess while none is known. */
    Milliseconds usualTime(const Route& route) const;
    void answeredUnhindered(const Route& route, Milliseconds took);
    /** How long a caller that brings so much time has been trying before. */
    Milliseconds spentBefore(const Route& route, Milliseconds timeLeft);

    ServiceDescription description;
    ServicePool pool;
    WaitingQueue queue;
    double targetTurn = 0; // reaches 1 when the next request is for the version that is tried
    RetryBudget retryBudget;
    /** Late callers that go with the others; a larger share takes more from those that can be in time. */
    TokenShare lateAsFresh{ { .share = 0.02, .most = 2 } };

private:
    std::unordered_map<std::string, Milliseconds> meanTimes; // by route
    std::unordered_map<std::string, Milliseconds> usualTimes; // by route
    std::unordered_map<std::string, CallerPatience> patience; // by route
};

}
