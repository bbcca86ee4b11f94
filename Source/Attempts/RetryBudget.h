#pragma once

#include "Attempts/ExpiringTokens.h"
#include "Attempts/SlidingCount.h"
#include "Base/Milliseconds.h"
#include "Base/Random.h"

#include <cstddef>
#include <cstdint>
#include <optional>

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
    std::optional<std::size_t> instances; // nullopt: unknown, nothing is earned from the slack
};

/**
 * This instance's share of the fleet's bound on retries and hedges.
 *
 * A retry uses a token. First attempts earn tokens, so that the bound on the sum holds for any number of instances,
 * whether or not they know each other; the slack, divided by the number of instances, earns them with time. Tokens
 * expire, and a new budget has none, so instances that restart do not spend theirs twice. What is earned is lowered so
 * that a window and the lifetime before it earn no more than the bound of one window. See docs/design/retry-budget.md.
 */
class RetryBudget {
public:
    /** `random` chooses at which fraction of its first tokens this budget begins. */
    RetryBudget(const RetryLimits& limits, Random random);

    /** Sets the share of the first attempts that later ones earn. */
    void setShare(double share) { this->limits.share = share; }
    /** Sets the least size of the fleet; nullopt while it is unknown. */
    void setInstances(std::optional<std::size_t> instances) { this->instances = instances; }
    /** Counts a first attempt, which adds to the budget. */
    void firstAttempt(Milliseconds now);
    /** Takes one retry from the budget; false when it is used up. */
    bool take(Milliseconds now);
    /** The same for a hedge, but leaves a part of the budget for retries after failures. */
    bool takeForHedge(Milliseconds now);

    /** True when take() would succeed. */
    bool hasLeft(Milliseconds now);

    /** The inputs of the latest decision, for log records. */
    RetryUsage usage(Milliseconds now);

private:
    /** Adds what the slack earned since the last call. */
    void earnFromSlack(Milliseconds now);

    RetryLimits limits;
    std::optional<std::size_t> instances;
    Milliseconds slackEarnedUntil = Never; // Never: nothing was earned yet
    ExpiringTokens ofFirsts;
    ExpiringTokens ofSlack;
    ExpiringTokens forHedges; // a hedge needs one of these besides
    SlidingCount firsts;
    SlidingCount retries;
};

}
