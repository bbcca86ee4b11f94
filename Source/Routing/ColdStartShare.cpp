#include "Routing/ColdStartShare.h"

#include <algorithm>

namespace burlreach {

namespace {

/**
 * Longer than a second by the amount by which the latency of requests to the server may vary, so that no instance
 * uses the budgets of two windows within one second. The requests of any second are then a sum of independent random
 * draws whose mean is the rate that the server can take. At 2.5 requests a second the sum exceeds 1.5 times the rate
 * by more than eight requests about once in 60,000 windows in which every instance uses its whole budget.
 */
constexpr Milliseconds Window{ 1250 };
/** Smallest fleet size to assume, so that in a small fleet each instance does not get several requests at once. */
constexpr std::size_t FewestInstances = 2;

}

LocalBudgetShare::Rate ColdStartShare::budgetPart() const
{
    const std::size_t instances = std::max(this->options.instances.value_or(0), FewestInstances);
    const double ofWindow = this->options.perSecond / static_cast<double>(instances);
    return { .perSecond = ofWindow / (Window / Second), .window = Window };
}

bool ColdStartShare::hasRateLimit(const BackendServerState& server, Milliseconds now) const
{
    return this->options.perSecond > 0 && server.isCold(now);
}

bool ColdStartShare::allows(const BackendServerState& server, Random& random, Milliseconds now)
{
    if (!this->hasRateLimit(server, now))
        return true;
    return this->options.instances && this->budget.has(server.id(), this->budgetPart(), random, now);
}

void ColdStartShare::sent(const BackendServerState& server, Random& random, Milliseconds now)
{
    if (this->hasRateLimit(server, now))
        this->budget.take(server.id(), this->budgetPart(), random, now);
}

}
