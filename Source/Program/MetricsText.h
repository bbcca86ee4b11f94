#pragma once

#include "Metrics/DecisionCounters.h"
#include "Metrics/TrafficMetrics.h"
#include "StoreClient/HttpStoreClient.h"
#include "operators.pb.h"

#include <cstddef>
#include <string>

namespace burlreach {

/** Current values that are not counters. */
struct InstanceFigures {
    std::size_t openRequests = 0;
    std::size_t suspectedRequests = 0; // requests during which backend servers crashed
    std::size_t instances = 1; // known to this instance, itself included
    bool isWatching = false; // whether this instance watches the store
    StoreRevision storeRevision = 0;
    Milliseconds confirmedAge; // time since the store confirmed the revision
};

/** Returns all counters as the answer to the operators' ShowCounters call. */
v1::ShowCountersAnswer countersOf(const DecisionCounters& decisions, const TrafficMetrics& traffic,
    const StoreCallCounts& storeCalls, const InstanceFigures& figures);

/** Returns counters and histograms in the Prometheus text exposition format. */
std::string writeMetrics(const v1::ShowCountersAnswer& counters, const TrafficMetrics& traffic);

}
