#include "Measurement/ProbeManager.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace burlreach {

namespace {

/** Smallest fleet size to assume while the fleet is not known yet. */
constexpr std::size_t FewestInstances = 4;

constexpr double MostWindowsPerSecond = 4;

/**
 * One window per probe of this instance's share, at least 1 and at most MostWindowsPerSecond a second. The number is
 * whole, so that no second overlaps one window more.
 *
 * With 79 instances and 18 servers, an instance may probe 8 of the servers at any time, from the start on; with a token
 * bucket that starts empty it could send no probe for two seconds. The 0.2 of the fleet's budget that is not shared out
 * covers the variance of the random draws, and short windows whose budgets are used right after each other.
 */
Milliseconds windowFor(double perSecond)
{
    return Second * (1 / std::clamp(std::ceil(perSecond), 1.0, MostWindowsPerSecond));
}

}

ProbeManager::ProbeManager(Options givenOptions, Random& givenRandom)
    : options(std::move(givenOptions))
    , random(&givenRandom)
{
}

void ProbeManager::setFleet(std::size_t instanceCount, std::size_t dataCentreCount)
{
    this->instances = std::max(instanceCount, FewestInstances);
    this->dataCentres = std::max<std::size_t>(dataCentreCount, 1);
}

double ProbeManager::shareFor(const BackendServerState& server, double share) const
{
    const double budget = this->options.fleetPerSecond * share;
    const auto all = static_cast<double>(std::max(this->instances, FewestInstances));
    const double near = std::max(1.0, all / static_cast<double>(this->dataCentres));
    if (server.record().dataCentre == this->options.dataCentre)
        return budget * this->options.nearShare / near;
    return budget * this->options.farShare / std::max(1.0, all - near);
}

bool ProbeManager::takeFromBudget(const BackendServerState& server, double share, Milliseconds now)
{
    const double part = this->shareFor(server, share);
    if (part <= 0)
        return false;
    return this->budget.take(server.id(), { .perSecond = part, .window = windowFor(part) }, *this->random, now);
}

void ProbeManager::forget(const std::string& backendServer)
{
    this->budget.forget(backendServer);
    this->inFlight.erase(backendServer);
}

std::optional<Probe> ProbeManager::start(
    const std::shared_ptr<BackendServerState>& server, const std::string& path, double share, Milliseconds now)
{
    if (path.empty() || this->isInFlight(server->id()) || !this->takeFromBudget(*server, share, now))
        return std::nullopt;
    const ProbeNumber number = ++this->lastNumber;
    this->inFlight[server->id()] = number;
    this->serversByProbe[number] = server;
    return Probe{ .number = number,
        .backendServer = server->id(),
        .life = server->record().life,
        .address = server->record().address,
        .path = path,
        .timeout = this->options.timeout };
}

std::shared_ptr<BackendServerState> ProbeManager::ended(ProbeNumber number)
{
    const auto found = this->serversByProbe.find(number);
    if (found == this->serversByProbe.end())
        return nullptr;
    std::shared_ptr<BackendServerState> server = found->second;
    this->serversByProbe.erase(found);
    const auto latest = this->inFlight.find(server->id());
    if (latest != this->inFlight.end() && latest->second == number)
        this->inFlight.erase(latest);
    return server;
}

}
