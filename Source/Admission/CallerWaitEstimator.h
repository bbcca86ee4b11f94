#pragma once

#include "Base/Milliseconds.h"

namespace burlreach {

/**
 * Estimates how long the callers of a route have been trying before a request arrives. Each request states the time
 * left until its deadline. First tries have the longest; callers that retry after a refusal have less time left, and
 * the difference is what they have spent. The usual time of a first try is not configured: it is the longest time seen,
 * which decays so that single callers with very late deadlines do not count for long.
 */
class CallerWaitEstimator {
public:
    /** Takes the time left of an arriving request and returns the time that its caller has spent before. */
    Milliseconds estimateTimeSpent(Milliseconds timeLeft);

private:
    Milliseconds longest;
};

/** True when a caller that has spent this long can hardly get its answer within the target latency any more. */
bool isLateCaller(Milliseconds spent, Milliseconds expected, Milliseconds target);

}
