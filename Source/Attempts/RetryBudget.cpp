#include "Attempts/RetryBudget.h"

#include <algorithm>

namespace burlreach {

namespace {

/**
 * Share of the bound that is used; the rest is a reserve, because the bound applies to windows that start at any time.
 */
constexpr double UsedShare = 0.85;
/** Share of the budget that hedges may use. */
constexpr double HedgeShare = 0.7;
/** Smallest fleet size to assume while the fleet is not known yet. */
constexpr std::size_t FewestInstances = 8;

}

RetryBudget::RetryBudget(const RetryLimits& givenLimits)
    : limits(givenLimits)
    , firsts(givenLimits.window)
    , retries(givenLimits.window)
{
}

void RetryBudget::firstAttempt(Milliseconds now)
{
    this->firsts.add(now);
}

bool RetryBudget::isWithin(double part, Milliseconds now)
{
    const auto divisor = 2 * static_cast<double>(std::max(this->instances, FewestInstances));
    const double ofFirsts = this->limits.share * UsedShare * static_cast<double>(this->firsts.count(now));
    const double allowed = part * (ofFirsts + this->limits.slack / divisor);
    return static_cast<double>(this->retries.count(now)) + 1 <= allowed;
}

bool RetryBudget::takeWithin(double part, Milliseconds now)
{
    if (!this->isWithin(part, now))
        return false;
    this->retries.add(now);
    return true;
}

bool RetryBudget::take(Milliseconds now)
{
    return this->takeWithin(1, now);
}

bool RetryBudget::takeForHedge(Milliseconds now)
{
    return this->takeWithin(HedgeShare, now);
}

RetryUsage RetryBudget::usage(Milliseconds now)
{
    return { .firstAttempts = this->firsts.count(now),
        .retries = this->retries.count(now),
        .instances = std::max(this->instances, FewestInstances) };
}

}
