#pragma once

#include "Metrics/DecisionCounters.h"
#include "Node/RequestState.h"

#include <cstdint>
#include <string_view>

namespace burlreach {

/** Sets whether a new request is late, and how much of its time its caller has spent before. */
void classifyCaller(RequestState& request, DecisionCounters& counters);
/**
 * The rank in the queue of the request's service: among requests of equal rank, late ones and those beyond their
 * customer's part come last.
 */
std::uint32_t queueRank(const RequestState& request);
/**
 * The customer that takes turns with others within the rank. Empty for all requests where no customer has a limit, so
 * that the queue is first in, first out there.
 */
std::string_view queueCustomer(const RequestState& request);
/** Appends the request to the queue of its service. */
void pushToQueue(RequestState& request, Milliseconds now);
/** Returns the request to the front of its rank in the queue of its service. */
void pushToQueueFront(const RequestState& request);

}
