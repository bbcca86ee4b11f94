#include "Routing/ColdStartShare.h"

#include <algorithm>

namespace burlreach {

namespace {

/**
 * Longer than a second by what requests may differ in their way to the server:
 * so within any second no instance spends what two windows dealt. The requests
 * of a second are then a sum of independent draws with the mean that the server
 * bears; more than eight beyond one and a half times of 2.5 come once in some
 * sixty thousand windows in which every instance uses what it was dealt (worked out).
 */
constexpr Milliseconds Window{ 1250 };
/** As if there were at least so many, so that few instances do not take whole requests each at once. */
constexpr std::size_t FewestInstances = 2;

}

DealtBudget::Part ColdStartShare::part() const
{
    const std::size_t instances = std::max(this->options.instances.value_or(0), FewestInstances);
    const double ofWindow = this->options.perSecond / static_cast<double>(instances);
    return { .perSecond = ofWindow / (Window / Second), .window = Window };
}

bool ColdStartShare::isBound(const BackendServerState& server, Milliseconds now) const
{
    return this->options.perSecond > 0 && server.isCold(now);
}

bool ColdStartShare::allows(const BackendServerState& server, Random& random, Milliseconds now)
{
    if (!this->isBound(server, now))
        return true;
    return this->options.instances && this->budget.has(server.id(), this->part(), random, now);
}

void ColdStartShare::sent(const BackendServerState& server, Random& random, Milliseconds now)
{
    if (this->isBound(server, now))
        this->budget.take(server.id(), this->part(), random, now);
}

}
