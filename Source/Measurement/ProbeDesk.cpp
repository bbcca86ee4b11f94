#include "Measurement/ProbeDesk.h"

#include <algorithm>
#include <utility>

namespace burlreach {

namespace {

/** A fleet that is not known yet is taken to be at least this large. */
constexpr std::size_t FewestInstances = 4;

}

ProbeDesk::ProbeDesk(Options givenOptions)
    : options(std::move(givenOptions))
{
}

void ProbeDesk::setFleet(std::size_t instanceCount, std::size_t dataCentreCount)
{
    this->instances = std::max(instanceCount, FewestInstances);
    this->dataCentres = std::max<std::size_t>(dataCentreCount, 1);
}

double ProbeDesk::perSecond(const BackendServerState& server, double share) const
{
    const double budget = this->options.fleetPerSecond * share;
    const auto all = static_cast<double>(std::max(this->instances, FewestInstances));
    const double near = std::max(1.0, all / static_cast<double>(this->dataCentres));
    if (server.record().dataCentre == this->options.dataCentre)
        return budget * this->options.nearShare / near;
    return budget * this->options.farShare / std::max(1.0, all - near);
}

bool ProbeDesk::takeAllowance(const BackendServerState& server, double share, Milliseconds now)
{
    const double rate = this->perSecond(server, share);
    Allowance& allowance = this->allowances[server.id()];
    if (allowance.filledAt == LongAgo)
        allowance = { .tokens = std::min(1.0, rate), .filledAt = now };
    const double earned = rate * std::max(0.0, (now - allowance.filledAt) / Second);
    allowance.tokens = std::min(this->options.burst, allowance.tokens + earned);
    allowance.filledAt = now;
    if (allowance.tokens < 1)
        return false;
    allowance.tokens -= 1;
    return true;
}

std::optional<Probe> ProbeDesk::start(
    const std::shared_ptr<BackendServerState>& server, const std::string& path, double share, Milliseconds now)
{
    if (path.empty() || this->isUnderWay(server->id()) || !this->takeAllowance(*server, share, now))
        return std::nullopt;
    const ProbeNumber number = ++this->last;
    this->underWay[server->id()] = number;
    this->asked[number] = server;
    return Probe{ .number = number,
        .backendServer = server->id(),
        .address = server->record().address,
        .path = path,
        .timeout = this->options.timeout };
}

std::shared_ptr<BackendServerState> ProbeDesk::ended(ProbeNumber number)
{
    const auto found = this->asked.find(number);
    if (found == this->asked.end())
        return nullptr;
    std::shared_ptr<BackendServerState> server = found->second;
    this->asked.erase(found);
    this->underWay.erase(server->id());
    return server;
}

}
