#pragma once

#include "Metrics/DecisionCounters.h"
#include "Metrics/TrafficMetrics.h"
#include "operators.pb.h"

#include <cstddef>
#include <string>

namespace burlreach {

/** All counters, in the shape that operators' calls give. */
v1::ShowCountersAnswer countersOf(const DecisionCounters& decisions, const TrafficMetrics& traffic,
    std::size_t claimRecords, std::size_t openRequests);

/** Counters and histograms in the text exposition format. */
std::string writeMetrics(const v1::ShowCountersAnswer& counters, const TrafficMetrics& traffic);

}
