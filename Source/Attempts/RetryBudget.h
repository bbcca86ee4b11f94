#pragma once

#include "Attempts/SlidingCount.h"
#include "Base/Milliseconds.h"

#include <cstddef>
#include <cstdint>

namespace burlreach {

/** The bound on retries of one service by the whole fleet. */
struct RetryLimits {
    double share = 0.1; // of the first attempts within the window
    double slack = 0; // further retries of the whole fleet within the window
    Milliseconds window{ 10000 };
};

/** What a budget counted within the last window, and what its share of the slack is divided by. */
struct RetryUsage {
    std::uint64_t firstAttempts = 0;
    std::uint64_t retries = 0; // hedges included
    std::size_t instances = 0;
};

/**
 * This instance's share of the fleet's bound on retries and hedges.
 *
 * Each instance retries at most a share of its own first attempts, so that the bound on the sum holds for any number of
 * instances, whether or not they know each other. Only the slack depends on the number of instances. It is divided by
 * twice that number, so that instances that restart do not spend it twice.
 */
class RetryBudget {
public:
    explicit RetryBudget(const RetryLimits& limits);

    /** Sets the size of the fleet. */
    void setInstances(std::size_t instances) { this->instances = instances; }
    /** Counts a first attempt, which adds to the budget. */
    void firstAttempt(Milliseconds now);
    /** Takes one retry from the budget; false when it is used up. */
    bool take(Milliseconds now);
    /** The same for a hedge, but leaves a part of the budget for retries after failures. */
    bool takeForHedge(Milliseconds now);

    /** True when take() would succeed. */
    bool hasLeft(Milliseconds now) { return this->isWithin(1, now); }

    /** The inputs of the latest decision, for log records. */
    RetryUsage usage(Milliseconds now);

private:
    bool isWithin(double part, Milliseconds now);
    bool takeWithin(double part, Milliseconds now);

    RetryLimits limits;
    std::size_t instances = 1;
    SlidingCount firsts;
    SlidingCount retries;
};

}
