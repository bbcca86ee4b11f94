#include "Attempts/RetryBudget.h"

#include <algorithm>

namespace burlreach {

namespace {

/** Lifetime of tokens earned by first attempts, as a share of the window. */
constexpr double FirstsLifetime = 0.25;
/**
 * Lifetime of tokens earned by the slack. It is long, because in a large fleet an instance earns about one a window.
 */
constexpr double SlackLifetime = 1;
/** Lifetime of the tokens that hedges need besides; they only divide what may be spent. */
constexpr double HedgesLifetime = 1;
/**
 * Share of the slack that is used. The rest covers the random fractions at which budgets begin, loads that change
 * within a window, retries that wait before they are sent, and instances that the count of the fleet lacks.
 */
constexpr double UsedSlack = 0.75;
/** Share of the budget that hedges may use. */
constexpr double HedgeShare = 0.7;
/** Smallest fleet size to assume, so that instances that all count too few do not exceed the bound by much. */
constexpr std::size_t FewestInstances = 16;

/** By how much earnings are lowered, so that a window and a lifetime earn as much as the bound of one window. */
constexpr double earnedPart(double lifetime)
{
    return 1 / (1 + lifetime);
}

}

RetryBudget::RetryBudget(const RetryLimits& givenLimits, Random random)
    : limits(givenLimits)
    , ofFirsts(givenLimits.window * FirstsLifetime, random.unit())
    , ofSlack(givenLimits.window * SlackLifetime, random.unit())
    , forHedges(givenLimits.window * HedgesLifetime, 0)
    , firsts(givenLimits.window)
    , retries(givenLimits.window)
{
}

void RetryBudget::earnFromSlack(Milliseconds now)
{
    const Milliseconds since = this->slackEarnedUntil == Never ? now : this->slackEarnedUntil;
    this->slackEarnedUntil = now;
    if (!this->instances)
        return;
    // What was earned longer ago has expired.
    const Milliseconds span = std::min(now - since, this->limits.window * SlackLifetime);
    const auto divisor = static_cast<double>(std::max(*this->instances, FewestInstances));
    const double ofWindow = this->limits.slack * UsedSlack * earnedPart(SlackLifetime) / divisor;
    const double earned = ofWindow * (span / this->limits.window);
    this->ofSlack.earn(earned, span, now);
    this->forHedges.earn(earned * HedgeShare, span, now);
}

void RetryBudget::firstAttempt(Milliseconds now)
{
    this->earnFromSlack(now);
    this->firsts.add(now);
    const double earned = this->limits.share * earnedPart(FirstsLifetime);
    this->ofFirsts.earn(earned, {}, now);
    this->forHedges.earn(earned * HedgeShare, {}, now);
}

bool RetryBudget::hasLeft(Milliseconds now)
{
    this->earnFromSlack(now);
    return this->ofFirsts.has(now) || this->ofSlack.has(now);
}

bool RetryBudget::take(Milliseconds now)
{
    this->earnFromSlack(now);
    // Tokens of first attempts expire sooner.
    if (!this->ofFirsts.take(now) && !this->ofSlack.take(now))
        return false;
    this->retries.add(now);
    return true;
}

bool RetryBudget::takeForHedge(Milliseconds now)
{
    return this->hasLeft(now) && this->forHedges.take(now) && this->take(now);
}

RetryUsage RetryBudget::usage(Milliseconds now)
{
    return {
        .firstAttempts = this->firsts.count(now), .retries = this->retries.count(now), .instances = this->instances
    };
}

}
