#pragma once

#include "Admission/ArrivalTokenBucket.h"
#include "Admission/CallerWaitEstimator.h"
#include "Admission/WaitingQueue.h"
#include "Attempts/RetryBudget.h"
#include "Base/Random.h"
#include "Configuration/RoutingConfiguration.h"
#include "Measurement/RecentMaximum.h"
#include "Routing/ServicePool.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace burlreach {

/** Number of instances among which limits of the whole fleet are divided. */
struct FleetCount {
    std::size_t largest = 1; // of the recent counts, also while this instance may know only a few others
    std::optional<std::size_t> atLeast; // the same for limits that must hold also at start; nothing while unknown

    bool operator==(const FleetCount&) const = default;
};

/** The state of one service on this instance. */
struct ServiceState {
    ServiceState(std::unique_ptr<RoutingPolicy> policy, ServicePool::Options poolOptions, const RetryLimits& limits,
        const Random& random);

    void configure(const ServiceDescription& description, const FleetCount& fleet);
    /** Mean response time of the route; estimated from its target latency before the first answer. */
    Milliseconds expectedTime(const Route& route) const;
    void addResponseTime(const Route& route, Milliseconds took);
    /** The longest recent time of an attempt of the route, with or without an answer; nothing if few were made. */
    std::optional<Milliseconds> longestTime(const Route& route, Milliseconds now) const;
    void addAttemptTime(const Route& route, Milliseconds took, Milliseconds now);
    /** Mean response time of servers with free slots that were not slow; estimated as above before the first answer. */
    Milliseconds unloadedTime(const Route& route) const;
    void addUnloadedTime(const Route& route, Milliseconds took);
    /** Estimates how long a caller with this much time left has already been retrying. */
    Milliseconds estimateTimeSpent(const Route& route, Milliseconds timeLeft);

    ServiceDescription description;
    ServicePool pool;
    WaitingQueue queue;
    double targetShareSum = 0; // at 1, the next request goes to the new version of a roll-out
    RetryBudget retryBudget;
    /**
     * Late callers that are queued as if they were on time, so that none waits for ever. A larger share would delay
     * more of the callers that can still be answered in time.
     */
    ArrivalTokenBucket latePromotions{ { .share = 0.02, .most = 2 } };

private:
    std::unordered_map<std::string, Milliseconds> meanTimes; // by route
    std::unordered_map<std::string, Milliseconds> unloadedTimes; // by route
    std::unordered_map<std::string, RecentMaximum> longestTimes; // by route
    std::unordered_map<std::string, CallerWaitEstimator> callerPatience; // by route
};

}
