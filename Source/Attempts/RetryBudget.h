#pragma once

#include "Attempts/SlidingCount.h"
#include "Base/Milliseconds.h"

namespace burlreach {

/** The bound on retries that the whole fleet keeps for one service. */
struct RetryLimits {
    double share = 0.1; // of the first attempts within the window
    double slack = 0; // retries that the fleet may make beyond that within the window
    Milliseconds window{ 10000 };
};

/**
 * This instance's part of the fleet's bound on retries and hedges.
 *
 * Each instance keeps to the share of its own first attempts, so the bound on
 * the sum holds however many instances there are and whether or not they can
 * see each other. Only the slack needs a count of the instances; it is divided
 * by twice as many, so that restarts do not spend it twice.
 */
class RetryBudget {
public:
    explicit RetryBudget(const RetryLimits& limits);

    /** The limits stay; the fleet has this many instances. */
    void setInstances(std::size_t instances) { this->instances = instances; }
    void firstAttempt(Milliseconds now);
    /** True when one more attempt may be made; it is then counted. */
    bool take(Milliseconds now);
    /** As take(), but leaves a part of the budget to retries after failures. */
    bool takeForHedge(Milliseconds now);

private:
    bool takeWithin(double part, Milliseconds now);

    RetryLimits limits;
    std::size_t instances = 1;
    SlidingCount firsts;
    SlidingCount retries;
};

}
