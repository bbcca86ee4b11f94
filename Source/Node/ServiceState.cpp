#include "Node/ServiceState.h"

#include <algorithm>

namespace burlreach {

namespace {

/** Assumed response time before the first answer, as a fraction of the route's target latency. */
constexpr double InitialTimeShare = 0.4;
constexpr double SmoothingFactor = 0.05;

using TimesByRoute = std::unordered_map<std::string, Milliseconds>;

Milliseconds meanOf(const TimesByRoute& times, const Route& route)
{
    const auto known = times.find(route.name);
    return known == times.end() ? route.targetLatency * InitialTimeShare : known->second;
}

void addTo(TimesByRoute& times, const Route& route, Milliseconds took)
{
    const auto [known, isFirst] = times.emplace(route.name, took);
    if (!isFirst)
        known->second = known->second + (took - known->second) * SmoothingFactor;
}

}

ServiceState::ServiceState(std::unique_ptr<RoutingPolicy> policy, ServicePool::Options poolOptions,
    const RetryLimits& limits, const Random& random)
    : pool(std::move(policy), poolOptions)
    , retryBudget(limits, random)
{
}

void ServiceState::configure(const ServiceDescription& next, const FleetCount& fleet)
{
    this->description = next;
    this->pool.setColdShare({ .perSecond = next.coldRequestsPerSecond, .instances = fleet.atLeast });
    this->pool.setConnectionShare(next.connectionsPerBackendServer / std::max<std::size_t>(fleet.largest, 1));
    this->retryBudget.setInstances(fleet.atLeast);
}

Milliseconds ServiceState::expectedTime(const Route& route) const
{
    return meanOf(this->meanTimes, route);
}

Milliseconds ServiceState::unloadedTime(const Route& route) const
{
    return meanOf(this->unloadedTimes, route);
}

Milliseconds ServiceState::estimateTimeSpent(const Route& route, Milliseconds timeLeft)
{
    return this->callerPatience[route.name].estimateTimeSpent(timeLeft);
}

void ServiceState::addResponseTime(const Route& route, Milliseconds took)
{
    addTo(this->meanTimes, route, took);
}

std::optional<Milliseconds> ServiceState::longestTime(const Route& route, Milliseconds now) const
{
    const auto known = this->longestTimes.find(route.name);
    return known == this->longestTimes.end() ? std::nullopt : known->second.value(now);
}

void ServiceState::addAttemptTime(const Route& route, Milliseconds took, Milliseconds now)
{
    this->longestTimes.try_emplace(route.name, RecentMaximum::Options{}).first->second.add(took, now);
}

void ServiceState::addUnloadedTime(const Route& route, Milliseconds took)
{
    addTo(this->unloadedTimes, route, took);
}

}
